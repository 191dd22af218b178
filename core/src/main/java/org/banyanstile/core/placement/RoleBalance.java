package org.banyanstile.core.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.ToLongFunction;
import java.util.stream.Collectors;

import org.banyanstile.core.catalog.EndpointRole;
import org.banyanstile.core.catalog.RegisteredEndpoint;

/**
 * Decides how many engines of a service are prefill engines and how many are decode
 * engines. Decode memory is the scarce resource: the memory of prefill engines is not
 * available to generations, and prefill takes far less of an engine's time than
 * generation takes of its memory. So there are few prefill engines, and a decode engine
 * prefills a prompt itself while they are busy, see {@link PrefillPlacement}.
 *
 * @author banyanstile contributors
 */
public final class RoleBalance {

	/**
	 * Share of prefill engines. A prefill takes 100 ms, and a generation takes four
	 * seconds in a memory that holds ten requests, so prefill makes up a fifth of the
	 * total work. The decode engines prefill the little that is left.
	 */
	static final double PREFILL_SHARE = 0.19;

	/**
	 * Surplus of prefill engines, as a fraction of an engine, above which one becomes a
	 * decode engine. Hysteresis keeps an engine that leaves and returns from changing the
	 * roles of others, which takes each out of service for seconds.
	 */
	static final double MAX_SURPLUS = 0.8;

	/**
	 * Largest number of role-change orders in one round. An engine is out of service for
	 * some seconds while it changes, so during the day only a part of the engines may
	 * change at once.
	 */
	static final int MAX_ORDERS_PER_ROUND = 4;

	private RoleBalance() {
	}

	/**
	 * Returns the number of engines that should be prefill engines.
	 * @param engines number of engines of the service
	 * @return the number
	 */
	public static int prefillTarget(int engines) {
		return (engines < 2) ? 0 : (int) Math.max(1, Math.round(PREFILL_SHARE * engines));
	}

	private static int surplus(int prefill, int engines) {
		int surplus = prefill - prefillTarget(engines);
		return (surplus > 0 && prefill - PREFILL_SHARE * engines <= MAX_SURPLUS) ? 0 : surplus;
	}

	/**
	 * Plans role changes.
	 * @param engines engines of the service that take work
	 * @param absent engines that are expected back, see {@link AbsentEngines}
	 * @param changing engines that carry out an earlier order, with their new role
	 * @param load tokens that an engine processes, by id; the least loaded engine changes
	 * first
	 * @return the role changes, empty if the roles are balanced
	 */
	public static List<RoleChange> plan(List<RegisteredEndpoint> engines, List<RegisteredEndpoint> absent,
			Map<String, EndpointRole> changing, ToLongFunction<String> load) {
		int prefill = prefillEngines(engines, changing) + prefillEngines(absent, changing);
		int surplus = surplus(prefill, engines.size() + absent.size());
		EndpointRole from = (surplus > 0) ? EndpointRole.PREFILL : EndpointRole.DECODE;
		EndpointRole to = (surplus > 0) ? EndpointRole.DECODE : EndpointRole.PREFILL;
		List<RegisteredEndpoint> candidates = new ArrayList<>(engines.stream()
			.filter((engine) -> engine.role() == from && !changing.containsKey(engine.id()))
			.toList());
		List<RoleChange> changes = new ArrayList<>();
		int wanted = Math.min(Math.abs(surplus), MAX_ORDERS_PER_ROUND);
		while (changes.size() < wanted && !candidates.isEmpty()) {
			RegisteredEndpoint engine = next(candidates, load);
			candidates.remove(engine);
			changes.add(new RoleChange(engine, to));
		}
		return changes;
	}

	/**
	 * Plans role changes for each software version by itself, since a decode engine
	 * cannot use what an engine of another version has prefilled.
	 * @param engines engines of the service that take work
	 * @param absent engines that are expected back, see {@link AbsentEngines}
	 * @param changing engines that carry out an earlier order, with their new role
	 * @param load tokens that an engine processes, by id
	 * @return the role changes, empty if the roles are balanced
	 */
	public static List<RoleChange> planByVersion(List<RegisteredEndpoint> engines, List<RegisteredEndpoint> absent,
			Map<String, EndpointRole> changing, ToLongFunction<String> load) {
		List<RoleChange> changes = new ArrayList<>();
		for (String version : versions(engines)) {
			changes.addAll(plan(ofVersion(version, engines), ofVersion(version, absent), changing, load));
		}
		return changes;
	}

	/**
	 * Returns the software versions of engines.
	 * @param engines the engines
	 * @return the versions, in order
	 */
	public static Set<String> versions(List<RegisteredEndpoint> engines) {
		return engines.stream().map(RegisteredEndpoint::version).collect(Collectors.toCollection(TreeSet::new));
	}

	private static List<RegisteredEndpoint> ofVersion(String version, List<RegisteredEndpoint> engines) {
		return engines.stream().filter((engine) -> engine.version().equals(version)).toList();
	}

	static int prefillEngines(List<RegisteredEndpoint> engines, Map<String, EndpointRole> changing) {
		int prefill = 0;
		for (RegisteredEndpoint engine : engines) {
			prefill += (changing.getOrDefault(engine.id(), engine.role()) == EndpointRole.PREFILL) ? 1 : 0;
		}
		return prefill;
	}

	// The data centre with the most candidates comes first, so that the engines of both
	// roles stay spread over the data centres.
	private static RegisteredEndpoint next(List<RegisteredEndpoint> candidates, ToLongFunction<String> load) {
		Map<String, Integer> counts = new HashMap<>();
		candidates.forEach((engine) -> counts.merge(engine.dataCentre(), 1, Integer::sum));
		return candidates.stream()
			.min(Comparator.comparingInt((RegisteredEndpoint engine) -> -counts.getOrDefault(engine.dataCentre(), 0))
				.thenComparingLong((engine) -> load.applyAsLong(engine.id()))
				.thenComparing(RegisteredEndpoint::id))
			.orElseThrow();
	}

	/**
	 * A role change.
	 *
	 * @param engine the engine
	 * @param role its new role
	 * @author banyanstile contributors
	 */
	public record RoleChange(RegisteredEndpoint engine, EndpointRole role) {

	}

}
