package org.banyanstile.core.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToLongFunction;

import org.banyanstile.core.catalog.EndpointRole;
import org.banyanstile.core.catalog.RegisteredEndpoint;
import org.banyanstile.core.placement.RoleBalance.RoleChange;
import org.jspecify.annotations.Nullable;

/**
 * Decides on the roles of engines by demand and speed, where {@link RoleBalance} has a
 * fixed share and takes all engines for equal. It is for services whose engines differ in
 * speed and whose prompts and memory change during the day. Fast engines prefill: a
 * prompt waits for the whole of its prefill, while a stream only has to keep its pace.
 *
 * @author banyanstile contributors
 */
public final class DemandBalance {

	/**
	 * Difference to the wanted number of prefill engines, as a fraction of an engine, up
	 * to which no role changes. A change takes an engine out of service for seconds.
	 */
	static final double MAX_DIFFERENCE = 0.8;

	/**
	 * Ratio of two speeds from which the engines exchange their roles.
	 */
	static final double MIN_SPEED_RATIO = 1.6;

	/**
	 * Step of speed within which an engine is chosen by data centre and load.
	 */
	private static final double SPEED_STEP = 0.25;

	private final List<RegisteredEndpoint> engines;

	private final List<RegisteredEndpoint> absent;

	private final Map<String, EndpointRole> changing;

	private final EngineSpeeds.Table speeds;

	private final ToLongFunction<String> load;

	private DemandBalance(List<RegisteredEndpoint> engines, List<RegisteredEndpoint> absent,
			Map<String, EndpointRole> changing, EngineSpeeds.Table speeds, ToLongFunction<String> load) {
		this.engines = engines;
		this.absent = absent;
		this.changing = changing;
		this.speeds = speeds;
		this.load = load;
	}

	/**
	 * Creates the balance of a service.
	 * @param engines engines of the service that take work
	 * @param absent engines that are expected back, see {@link AbsentEngines}
	 * @param changing engines that carry out an earlier order, with their new role
	 * @param speeds speeds of the engines
	 * @param load tokens that an engine processes, by id
	 * @return the balance
	 */
	public static DemandBalance of(List<RegisteredEndpoint> engines, List<RegisteredEndpoint> absent,
			Map<String, EndpointRole> changing, EngineSpeeds.Table speeds, ToLongFunction<String> load) {
		return new DemandBalance(engines, absent, changing, speeds, load);
	}

	/**
	 * Plans role changes.
	 * @param demand demand for the engines, {@code null} if it is not known yet
	 * @param memoryTokens tokens that fit into the memory of an engine
	 * @return the role changes, empty if the roles are balanced
	 */
	public List<RoleChange> plan(@Nullable RoleDemand demand, long memoryTokens) {
		int count = this.engines.size() + this.absent.size();
		double share = (demand != null) ? demand.prefillShare(memoryTokens, count) : RoleBalance.PREFILL_SHARE;
		int prefill = RoleBalance.prefillEngines(this.engines, this.changing)
				+ RoleBalance.prefillEngines(this.absent, this.changing);
		double wanted = share * count;
		int target = (count < 2) ? 0 : (int) Math.max(1, Math.min(count - 1, Math.round(wanted)));
		int surplus = prefill - target;
		if (prefill > 0 && Math.abs(prefill - wanted) <= MAX_DIFFERENCE) {
			surplus = 0;
		}
		if (surplus == 0) {
			return (prefill > 0 && count > prefill) ? exchange(prefill - wanted) : List.of();
		}
		// An engine that is becoming a prefill engine may replace another one, which
		// works until then.
		if (surplus > 0 && this.changing.containsValue(EndpointRole.PREFILL)) {
			return List.of();
		}
		EndpointRole from = (surplus > 0) ? EndpointRole.PREFILL : EndpointRole.DECODE;
		EndpointRole to = (surplus > 0) ? EndpointRole.DECODE : EndpointRole.PREFILL;
		List<RegisteredEndpoint> candidates = unchanging(from);
		List<RoleChange> changes = new ArrayList<>();
		int orders = Math.min(Math.abs(surplus), RoleBalance.MAX_ORDERS_PER_ROUND);
		while (changes.size() < orders && !candidates.isEmpty()) {
			RegisteredEndpoint engine = next(candidates, to);
			candidates.remove(engine);
			changes.add(new RoleChange(engine, to));
		}
		return changes;
	}

	// Exchanges the slowest prefill engine for a fast decode engine, one at a time. The
	// fast one changes first, so that no prompt has to wait for the exchange.
	private List<RoleChange> exchange(double surplus) {
		if (!this.changing.isEmpty() || !this.absent.isEmpty()) {
			return List.of();
		}
		List<RegisteredEndpoint> prefill = known(EndpointRole.PREFILL);
		List<RegisteredEndpoint> decode = known(EndpointRole.DECODE);
		if (prefill.isEmpty() || decode.isEmpty()) {
			return List.of();
		}
		RegisteredEndpoint slowest = prefill.get(0);
		RegisteredEndpoint fastest = decode.get(decode.size() - 1);
		double fastestPrefill = speed(prefill.get(prefill.size() - 1));
		if (surplus > 1 - MAX_DIFFERENCE && fastestPrefill >= MIN_SPEED_RATIO * speed(slowest)) {
			return List.of(new RoleChange(slowest, EndpointRole.DECODE));
		}
		boolean exchange = speed(fastest) >= MIN_SPEED_RATIO * speed(slowest);
		return exchange ? List.of(new RoleChange(fastest, EndpointRole.PREFILL)) : List.of();
	}

	private List<RegisteredEndpoint> known(EndpointRole role) {
		return unchanging(role).stream()
			.filter((engine) -> this.speeds.isKnown(engine.id()))
			.sorted(Comparator.comparingDouble(this::speed))
			.toList();
	}

	private List<RegisteredEndpoint> unchanging(EndpointRole role) {
		return new ArrayList<>(this.engines.stream()
			.filter((engine) -> engine.role() == role && !this.changing.containsKey(engine.id()))
			.toList());
	}

	private double speed(RegisteredEndpoint engine) {
		return this.speeds.of(engine.id());
	}

	private RegisteredEndpoint next(List<RegisteredEndpoint> candidates, EndpointRole to) {
		Map<String, Integer> counts = new HashMap<>();
		candidates.forEach((engine) -> counts.merge(engine.dataCentre(), 1, Integer::sum));
		int direction = (to == EndpointRole.PREFILL) ? -1 : 1;
		double step = SPEED_STEP * this.speeds.typical();
		return candidates.stream()
			.min(Comparator.comparingLong((RegisteredEndpoint engine) -> direction * Math.round(speed(engine) / step))
				.thenComparingInt((engine) -> -counts.getOrDefault(engine.dataCentre(), 0))
				.thenComparingLong((engine) -> this.load.applyAsLong(engine.id()))
				.thenComparing(RegisteredEndpoint::id))
			.orElseThrow();
	}

}
