package org.banyanstile.core.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToLongFunction;

import org.banyanstile.core.catalog.EndpointPhase;
import org.banyanstile.core.catalog.RegisteredEndpoint;

/**
 * Decides how many engines of a service read prompts and how many generate tokens.
 * Answers the load in which decode memory is short: engines that read prompts lend no
 * memory to generations, and reading takes far less of an engine's time than generating
 * takes of its memory. So few engines read prompts, and a decode engine reads a prompt
 * itself while these are busy, see {@link PromptReader}.
 *
 * @author banyanstile contributors
 */
public final class RoleBalance {

	/**
	 * Share of engines that read prompts. With 100 ms to read a prompt and four seconds
	 * in a memory that holds ten requests, reading takes a fifth of both; what an eighth
	 * of the engines cannot read, the decode engines do.
	 */
	static final double PREFILL_SHARE = 0.125;

	/**
	 * Orders in one round. An engine is out of service for some seconds while it changes,
	 * so during the day only a part may change at once.
	 */
	static final int MAX_ORDERS = 4;

	private RoleBalance() {
	}

	/**
	 * Returns the number of engines that should read prompts.
	 * @param engines number of engines of the service
	 * @return the number
	 */
	public static int prefillTarget(int engines) {
		return (engines < 2) ? 0 : (int) Math.ceil(PREFILL_SHARE * engines);
	}

	/**
	 * Plans changes of parts.
	 * @param engines engines of the service that take work
	 * @param changing engines that carry out an earlier order, with their new part
	 * @param load tokens that an engine works on, by id; the idlest changes first
	 * @return new parts by engine, none if the parts fit
	 */
	public static List<RoleChange> plan(List<RegisteredEndpoint> engines, Map<String, EndpointPhase> changing,
			ToLongFunction<String> load) {
		int prefill = 0;
		for (RegisteredEndpoint engine : engines) {
			prefill += (changing.getOrDefault(engine.id(), engine.phase()) == EndpointPhase.PREFILL) ? 1 : 0;
		}
		int surplus = prefill - prefillTarget(engines.size());
		EndpointPhase from = (surplus > 0) ? EndpointPhase.PREFILL : EndpointPhase.DECODE;
		EndpointPhase to = (surplus > 0) ? EndpointPhase.DECODE : EndpointPhase.PREFILL;
		List<RegisteredEndpoint> candidates = new ArrayList<>(engines.stream()
			.filter((engine) -> engine.phase() == from && !changing.containsKey(engine.id()))
			.toList());
		List<RoleChange> changes = new ArrayList<>();
		int wanted = Math.min(Math.abs(surplus), MAX_ORDERS);
		while (changes.size() < wanted && !candidates.isEmpty()) {
			RegisteredEndpoint engine = next(candidates, load);
			candidates.remove(engine);
			changes.add(new RoleChange(engine, to));
		}
		return changes;
	}

	// The data centre with the most candidates goes first, so that both parts stay
	// spread.
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
	 * A change of part.
	 *
	 * @param engine the engine
	 * @param phase its new part
	 * @author banyanstile contributors
	 */
	public record RoleChange(RegisteredEndpoint engine, EndpointPhase phase) {

	}

}
