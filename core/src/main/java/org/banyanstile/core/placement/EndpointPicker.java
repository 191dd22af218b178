package org.banyanstile.core.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGenerator;

import org.banyanstile.core.catalog.RegisteredEndpoint;
import org.jspecify.annotations.Nullable;

/**
 * Orders endpoints for a request. Several VMs choose at the same time by load reports
 * that are some hundred milliseconds old, so each score gets random noise that keeps the
 * VMs from all choosing the same endpoint.
 *
 * @author banyanstile contributors
 */
public final class EndpointPicker {

	/**
	 * Largest share of random noise in a score. Enough to reorder endpoints whose load
	 * differs by one or two requests.
	 */
	static final double NOISE = 0.25;

	/**
	 * Response time assumed for an endpoint of a plain service that has not responded
	 * yet.
	 */
	static final double TYPICAL_RESPONSE_MILLIS = 90;

	/**
	 * Largest noise in the score of a prefill engine, about a third of a prompt.
	 */
	static final double PREFILL_NOISE_TOKENS = 1000;

	/**
	 * Longer queue that is accepted to keep the transfer of a KV cache within a data
	 * centre, about half a prompt. Its prefill takes some 60 ms of an objective of 500 ms
	 * or more.
	 */
	static final double REMOTE_PENALTY_TOKENS = 2000;

	/**
	 * Weight of a prompt that a decode engine is prefilling itself, beside the memory of
	 * its request. A second prompt would hold back its streams for twice as long.
	 */
	static final double PREFILL_PENALTY = 2;

	private final EndpointLoads loads;

	private final EndpointHealth health;

	private final RandomGenerator random;

	private EndpointPicker(EndpointLoads loads, EndpointHealth health, RandomGenerator random) {
		this.loads = loads;
		this.health = health;
		this.random = random;
	}

	/**
	 * Creates a picker.
	 * @param loads loads of the endpoints
	 * @param health health of the endpoints
	 * @param random source of random numbers
	 * @return the picker
	 */
	public static EndpointPicker create(EndpointLoads loads, EndpointHealth health, RandomGenerator random) {
		return new EndpointPicker(loads, health, random);
	}

	/**
	 * Chooses the endpoint that is expected to respond first.
	 * @param candidates the endpoints of the service
	 * @param tried ids that were tried before; chosen only if nothing else is left
	 * @param now the current time in nanoseconds
	 * @return the endpoint, or {@code null} if there is none
	 */
	public @Nullable RegisteredEndpoint fastest(List<RegisteredEndpoint> candidates, Set<String> tried, long now) {
		RegisteredEndpoint best = null;
		double lowest = Double.MAX_VALUE;
		for (RegisteredEndpoint endpoint : candidates) {
			double score = expectedMillis(endpoint) * (1 + NOISE * this.random.nextDouble());
			if (!this.health.isUsable(endpoint.id(), now)) {
				score *= 100;
			}
			if (tried.contains(endpoint.id())) {
				score *= 10_000;
			}
			if (score < lowest) {
				lowest = score;
				best = endpoint;
			}
		}
		return best;
	}

	private double expectedMillis(RegisteredEndpoint endpoint) {
		double requests = this.loads.total(endpoint.id()).requests() + 1.0;
		double cost = this.health.cost(endpoint.id(), TYPICAL_RESPONSE_MILLIS);
		return cost * Math.max(1, requests / Math.max(1, endpoint.capacity())) + 0.1 * cost * requests;
	}

	/**
	 * Chooses the prefill engine with the fewest queued tokens. An engine in the data
	 * centre of the decode engine is preferred while the queues differ little, since the
	 * KV cache of a prompt is by far the largest transfer of a request.
	 * @param engines the prefill engines
	 * @param tried ids that were tried before, which are left out
	 * @param dataCentre data centre of the decode engine
	 * @param now the current time in nanoseconds
	 * @return the engine, or {@code null} if none is usable
	 */
	public @Nullable RegisteredEndpoint leastTokens(List<RegisteredEndpoint> engines, Set<String> tried,
			String dataCentre, long now) {
		RegisteredEndpoint best = null;
		double lowest = Double.MAX_VALUE;
		for (RegisteredEndpoint engine : engines) {
			double score = loadTokens(engine) + this.random.nextDouble() * PREFILL_NOISE_TOKENS
					+ (engine.dataCentre().equals(dataCentre) ? 0 : REMOTE_PENALTY_TOKENS);
			if (score < lowest && !tried.contains(engine.id()) && this.health.isUsable(engine.id(), now)) {
				lowest = score;
				best = engine;
			}
		}
		return best;
	}

	/**
	 * Chooses the prefill engine that is expected to complete a prompt first. This is for
	 * services whose engines differ in speed: a slow engine with a short queue completes
	 * a prompt later than a fast one with a longer queue.
	 * @param engines the prefill engines
	 * @param tried ids that were tried before, which are left out
	 * @param dataCentre data centre of the decode engine
	 * @param promptTokens tokens of the prompt
	 * @param speeds speeds of the engines
	 * @param now the current time in nanoseconds
	 * @return the engine, or {@code null} if none is usable
	 */
	public @Nullable RegisteredEndpoint earliestEnd(List<RegisteredEndpoint> engines, Set<String> tried,
			String dataCentre, long promptTokens, EngineSpeeds.Table speeds, long now) {
		RegisteredEndpoint best = null;
		double lowest = Double.MAX_VALUE;
		for (RegisteredEndpoint engine : engines) {
			double tokens = loadTokens(engine) + promptTokens + this.random.nextDouble() * PREFILL_NOISE_TOKENS;
			double millis = tokens / speeds.of(engine.id())
					+ (engine.dataCentre().equals(dataCentre) ? 0 : REMOTE_PENALTY_TOKENS / speeds.typical());
			if (millis < lowest && !tried.contains(engine.id()) && this.health.isUsable(engine.id(), now)) {
				lowest = millis;
				best = engine;
			}
		}
		return best;
	}

	/**
	 * Orders decode engines by the memory that is expected to be free, most first. If all
	 * are paused, those that may be tried all the same count as usable: the engines of
	 * one software version can be few, and they may be sound although their streams
	 * broke.
	 * @param engines the decode engines
	 * @param memoryTokens tokens that fit into the memory of one engine
	 * @param needed tokens that the request needs
	 * @param now the current time in nanoseconds
	 * @return the usable engines; those expected to be full come last
	 */
	public List<RegisteredEndpoint> mostFreeMemory(List<RegisteredEndpoint> engines, long memoryTokens, long needed,
			long now) {
		if (needed > memoryTokens) {
			return List.of();
		}
		Map<RegisteredEndpoint, Double> scores = new HashMap<>();
		boolean anyUsable = engines.stream().anyMatch((engine) -> this.health.isUsable(engine.id(), now));
		for (RegisteredEndpoint engine : engines) {
			boolean isCandidate = anyUsable ? this.health.isUsable(engine.id(), now)
					: this.health.isUsableAsLast(engine.id(), now);
			if (isCandidate) {
				scores.put(engine, loadTokens(engine) + PREFILL_PENALTY * this.loads.prefillTokens(engine.id())
						+ this.random.nextDouble() * needed);
			}
		}
		List<RegisteredEndpoint> sorted = new ArrayList<>(scores.keySet());
		sorted.sort(Comparator.comparingDouble(scores::get));
		return sorted;
	}

	private long loadTokens(RegisteredEndpoint engine) {
		return this.loads.total(engine.id()).tokens();
	}

}
