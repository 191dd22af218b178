package org.banyanstile.server.caller;

import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.banyanstile.core.common.DataCentreId;
import org.banyanstile.core.common.EndpointId;

/**
 * Finds an endpoint slot for one request among the pools that serve a model or service.
 * Pools of the preferred data centre are tried first, then the other pools.
 *
 * @author banyanstile contributors
 */
final class SlotFinder {

	private static final long MIN_RETRY_AFTER_MILLIS = 250;

	private final RequestServices services;

	private final ServingConfiguration configuration;

	private final SlotDemand demandTemplate;

	private final Set<EndpointId> excluded = new HashSet<>();

	SlotFinder(RequestServices services, ServingConfiguration configuration, SlotDemand demandTemplate) {
		this.services = services;
		this.configuration = configuration;
		this.demandTemplate = demandTemplate;
	}

	void exclude(EndpointId endpoint) {
		this.excluded.add(endpoint);
	}

	/**
	 * Finds a slot.
	 * @param role role of the pool
	 * @param preferred preferred data centre
	 * @param requestId identifier of the request at the endpoint
	 * @param waitMillis maximum time to wait
	 * @return the slot
	 * @throws RequestException if no slot becomes free in time
	 */
	SlotDecision.Granted find(PoolRole role, DataCentreId preferred, String requestId, long waitMillis)
			throws RequestException {
		List<Pool> pools = pools(role, preferred);
		long retryAfter = MIN_RETRY_AFTER_MILLIS;
		long deadline = System.nanoTime() + waitMillis * 1_000_000;
		for (int round = 0; round < 2; round++) {
			int poolsLeft = pools.size();
			for (Pool pool : pools) {
				long millis = (round == 0) ? 0 : Math.max(0, (deadline - System.nanoTime()) / 1_000_000 / poolsLeft);
				SlotDecision decision = this.services.slots().acquire(demand(pool, requestId, millis));
				if (decision instanceof SlotDecision.Granted granted) {
					return granted;
				}
				retryAfter = retryAfter(decision, retryAfter);
				poolsLeft--;
			}
		}
		throw RequestException.notRun(ErrorType.OVERLOADED, "no endpoint slot became free in time", retryAfter);
	}

	private static long retryAfter(SlotDecision decision, long retryAfter) throws RequestException {
		if (decision instanceof SlotDecision.Crashing) {
			throw RequestException.notRun(ErrorType.CRASHES_ENDPOINTS, "this request is known to crash endpoints");
		}
		return (decision instanceof SlotDecision.Overloaded overloaded)
				? Math.max(retryAfter, overloaded.retryAfterMillis()) : retryAfter;
	}

	private SlotDemand demand(Pool pool, String requestId, long waitMillis) {
		return new SlotDemand(pool, this.demandTemplate.team(), this.demandTemplate.cost(), requestId,
				this.demandTemplate.fingerprint(), waitMillis, Set.copyOf(this.excluded));
	}

	private List<Pool> pools(PoolRole role, DataCentreId preferred) {
		return this.configuration.endpoints()
			.stream()
			.filter((target) -> target.active() && !this.excluded.contains(target.id()))
			.map(EndpointTarget::pool)
			.filter((pool) -> pool.role() == role && pool.serves().equals(this.demandTemplate.pool().serves()))
			.distinct()
			.sorted(Comparator.comparing((Pool pool) -> !pool.dataCentre().equals(preferred))
				.thenComparing(Comparator.naturalOrder()))
			.toList();
	}

}
