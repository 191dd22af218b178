package org.banyanstile.server.caller;

import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.banyanstile.core.common.DataCentreId;
import org.banyanstile.core.common.EndpointId;

/**
 * Finds a slot for one request among the pools that serve a model or service: those of
 * this data centre first, the others when it has none free.
 *
 * @author banyanstile contributors
 */
final class SlotFinder {

	private static final long RETRY_MILLIS = 250;

	private final RequestServices services;

	private final ServingConfiguration configuration;

	private final SlotDemand template;

	private final Set<EndpointId> excluded = new HashSet<>();

	SlotFinder(RequestServices services, ServingConfiguration configuration, SlotDemand template) {
		this.services = services;
		this.configuration = configuration;
		this.template = template;
	}

	void exclude(EndpointId endpoint) {
		this.excluded.add(endpoint);
	}

	/**
	 * Finds a slot.
	 * @param role kind of work
	 * @param near data centre to prefer
	 * @param requestId identifier of the request at the endpoint
	 * @param waitMillis longest wait
	 * @return the slot
	 * @throws RequestException if none can be had in time
	 */
	SlotDecision.Granted find(PoolRole role, DataCentreId near, String requestId, long waitMillis)
			throws RequestException {
		List<Pool> pools = pools(role, near);
		long retryAfter = RETRY_MILLIS;
		long deadline = System.nanoTime() + waitMillis * 1_000_000;
		for (int round = 0; round < 2; round++) {
			int left = pools.size();
			for (Pool pool : pools) {
				long millis = (round == 0) ? 0 : Math.max(0, (deadline - System.nanoTime()) / 1_000_000 / left);
				SlotDecision decision = this.services.slots().acquire(demand(pool, requestId, millis));
				if (decision instanceof SlotDecision.Granted granted) {
					return granted;
				}
				retryAfter = retryAfter(decision, retryAfter);
				left--;
			}
		}
		throw RequestException.notRun(ErrorType.OVERLOADED, "no endpoint is free", retryAfter);
	}

	private static long retryAfter(SlotDecision decision, long retryAfter) throws RequestException {
		if (decision instanceof SlotDecision.Crashing) {
			throw RequestException.notRun(ErrorType.CRASHES_ENDPOINTS, "this request crashed endpoints before");
		}
		return (decision instanceof SlotDecision.Overloaded overloaded)
				? Math.max(retryAfter, overloaded.retryAfterMillis()) : retryAfter;
	}

	private SlotDemand demand(Pool pool, String requestId, long waitMillis) {
		return new SlotDemand(pool, this.template.team(), this.template.cost(), requestId, this.template.fingerprint(),
				waitMillis, Set.copyOf(this.excluded));
	}

	private List<Pool> pools(PoolRole role, DataCentreId near) {
		return this.configuration.endpoints()
			.stream()
			.filter((target) -> target.active() && !this.excluded.contains(target.id()))
			.map(EndpointTarget::pool)
			.filter((pool) -> pool.role() == role && pool.serves().equals(this.template.pool().serves()))
			.distinct()
			.sorted(Comparator.comparing((Pool pool) -> !pool.dataCentre().equals(near))
				.thenComparing(Comparator.naturalOrder()))
			.toList();
	}

}
