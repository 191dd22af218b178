package org.banyanstile.core.placement;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;

import org.banyanstile.core.catalog.RegisteredEndpoint;

/**
 * Ranks endpoints as {@link EndpointPicker} does, without its random noise and without
 * taking anything, and gives the reason of each position. For operators who want to know
 * where a request would go.
 *
 * @author banyanstile contributors
 */
public final class CandidateRanking {

	private final EndpointLoads loads;

	private final EndpointHealth health;

	private final EndpointPicker picker;

	private CandidateRanking(EndpointLoads loads, EndpointHealth health) {
		this.loads = loads;
		this.health = health;
		this.picker = EndpointPicker.create(loads, health, () -> 0);
	}

	/**
	 * Creates a ranking.
	 * @param loads loads of the endpoints
	 * @param health health of the endpoints
	 * @return the ranking
	 */
	public static CandidateRanking create(EndpointLoads loads, EndpointHealth health) {
		return new CandidateRanking(loads, health);
	}

	/**
	 * Ranks the endpoints of a plain service by their expected response time.
	 * @param endpoints the endpoints
	 * @param now the current time in nanoseconds
	 * @return the endpoints, the first choice first
	 */
	public List<CandidateEndpoint> plain(List<RegisteredEndpoint> endpoints, long now) {
		List<RegisteredEndpoint> remaining = new ArrayList<>(endpoints);
		List<CandidateEndpoint> ranked = new ArrayList<>();
		while (!remaining.isEmpty()) {
			RegisteredEndpoint next = this.picker.fastest(remaining, Set.of(), now);
			if (next == null) {
				break;
			}
			remaining.remove(next);
			String cost = String.format(Locale.ROOT, "responds in %.0f ms when idle",
					this.health.cost(next.id(), EndpointPicker.TYPICAL_RESPONSE_MILLIS));
			ranked.add(candidate(next, this.health.isUsable(next.id(), now), cost));
		}
		return ranked;
	}

	/**
	 * Ranks decode engines by their free memory.
	 * @param engines the decode engines
	 * @param memoryTokens tokens that fit into the memory of one engine
	 * @param tokens tokens that the request needs
	 * @param late whether the request can no longer meet its objective
	 * @param now the current time in nanoseconds
	 * @return the engines, the first choice first and those that are not usable last
	 */
	public List<CandidateEndpoint> decode(List<RegisteredEndpoint> engines, long memoryTokens, long tokens,
			boolean late, long now) {
		List<CandidateEndpoint> ranked = new ArrayList<>();
		for (RegisteredEndpoint engine : this.picker.mostFreeMemory(engines, memoryTokens, tokens, now)) {
			long used = this.loads.total(engine.id()).tokens();
			boolean fits = MemoryHeadroom.fits(memoryTokens, used, tokens, late);
			ranked.add(candidate(engine, fits, (memoryTokens - used) + " of " + memoryTokens + " tokens free, "
					+ (fits ? "the request needs " : "too few for a request of ") + tokens));
		}
		addUnusable(ranked, engines);
		return ranked;
	}

	/**
	 * Ranks prefill engines.
	 * @param engines the prefill engines
	 * @param dataCentre data centre of the decode engine
	 * @param now the current time in nanoseconds
	 * @return the engines, the first choice first and those that are not usable last
	 */
	public List<CandidateEndpoint> prefill(List<RegisteredEndpoint> engines, String dataCentre, long now) {
		Set<String> ranks = new HashSet<>();
		List<CandidateEndpoint> ranked = new ArrayList<>();
		RegisteredEndpoint next = this.picker.leastTokens(engines, ranks, dataCentre, now);
		while (next != null) {
			ranks.add(next.id());
			String place = next.dataCentre().equals(dataCentre) ? "in the data centre of the decode engine"
					: "in another data centre than the decode engine";
			ranked.add(candidate(next, true, place));
			next = this.picker.leastTokens(engines, ranks, dataCentre, now);
		}
		addUnusable(ranked, engines);
		return ranked;
	}

	private void addUnusable(List<CandidateEndpoint> ranked, List<RegisteredEndpoint> all) {
		Set<String> known = new HashSet<>();
		ranked.forEach((candidate) -> known.add(candidate.id()));
		for (RegisteredEndpoint endpoint : all) {
			if (!known.contains(endpoint.id())) {
				ranked.add(candidate(endpoint, false, ""));
			}
		}
	}

	private CandidateEndpoint candidate(RegisteredEndpoint endpoint, boolean usable, String reason) {
		EndpointLoads.Load load = this.loads.total(endpoint.id());
		String text = (usable || !reason.isEmpty()) ? reason : "refused a request or did not respond a moment ago";
		return new CandidateEndpoint(endpoint.id(), endpoint.dataCentre(), load.requests(), load.tokens(), usable,
				text);
	}

}
