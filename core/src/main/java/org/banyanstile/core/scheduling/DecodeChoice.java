package org.banyanstile.core.scheduling;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.jspecify.annotations.Nullable;

/**
 * Decode engines for the requests of a queue, in their order. A request that fits nowhere
 * earmarks the engine that is expected to have room first. A request behind it gets that
 * engine only if it does not delay the first: if it ends before, or if there is room for
 * both. Without this, small requests fill each gap before it is large enough for a large
 * one.
 *
 * @author banyanstile contributors
 */
final class DecodeChoice {

	/**
	 * Share of the memory of all engines above which it counts as scarce.
	 */
	static final double SCARCE_SHARE = 0.7;

	/**
	 * Share of the engines that may be earmarked.
	 */
	static final double EARMARK_SHARE = 0.25;

	/**
	 * Weight of a prompt that an engine prefills itself, beside the memory of its
	 * request.
	 */
	static final double PREFILL_PENALTY = 2;

	/**
	 * Tokens of load that are accepted to serve a request in its data centre.
	 */
	static final double REMOTE_PENALTY_TOKENS = 500;

	private final List<EngineMemory> engines;

	private final PrefillQueues prefills;

	private final StreamTimes times;

	private final long now;

	private final Map<EngineMemory, Earmark> earmarks = new HashMap<>();

	private final int maxEarmarks;

	private long usedTokens;

	private long memoryTokens;

	DecodeChoice(List<EngineMemory> engines, PrefillQueues prefills, StreamTimes times, long now) {
		this.engines = engines;
		this.prefills = prefills;
		this.times = times;
		this.now = now;
		this.maxEarmarks = Math.max(1, (int) (EARMARK_SHARE * engines.size()));
		for (EngineMemory engine : engines) {
			this.usedTokens += engine.usedTokens();
			this.memoryTokens += engine.memoryTokens();
		}
	}

	/**
	 * Chooses the engine for a request. While memory is scarce, this is the engine whose
	 * gap it fills best, so that large gaps remain for large requests; otherwise the one
	 * with the least load, since the streams of an engine slow each other down.
	 * @param waiting the request
	 * @return the engine, or {@code null} if it fits nowhere now
	 */
	@Nullable
	EngineMemory choose(WaitingRequest waiting) {
		GenerationRequest request = waiting.request();
		boolean scarce = this.usedTokens + request.tokens() > SCARCE_SHARE * this.memoryTokens;
		EngineMemory best = null;
		double lowest = Double.MAX_VALUE;
		for (EngineMemory engine : this.engines) {
			if (!fits(engine, waiting)) {
				continue;
			}
			double load = PREFILL_PENALTY * this.prefills.queuedTokens(engine.id())
					+ (engine.dataCentre().equals(request.dataCentre()) ? 0 : REMOTE_PENALTY_TOKENS);
			double score = load + (scarce ? engine.memoryTokens() - engine.usedTokens() : engine.usedTokens());
			if (score < lowest) {
				best = engine;
				lowest = score;
			}
		}
		return best;
	}

	private boolean fits(EngineMemory engine, WaitingRequest waiting) {
		long tokens = waiting.request().tokens();
		return engine.usedTokens() + tokens <= engine.memoryTokens() && !engine.isFull(this.now)
				&& !waiting.excludedEngines().contains(engine.id()) && isBackfill(engine, waiting.request());
	}

	private boolean isBackfill(EngineMemory engine, GenerationRequest request) {
		Earmark earmark = this.earmarks.get(engine);
		if (earmark == null) {
			return true;
		}
		double prefillMillis = request.promptTokens() / this.prefills.meanTokensPerMilli();
		if (this.times.totalMillis(engine.id(), request, prefillMillis) <= earmark.millis()) {
			return true;
		}
		long free = engine.freeTokensAfter(earmark.millis(), this.times, this.now);
		return free - earmark.tokens() >= request.tokens();
	}

	/**
	 * Earmarks an engine for a request that does not fit now.
	 * @param waiting the request
	 * @return the time until the engine is expected to have room in milliseconds,
	 * infinite if no engine may be earmarked
	 */
	double earmark(WaitingRequest waiting) {
		if (this.earmarks.size() >= this.maxEarmarks) {
			return Double.POSITIVE_INFINITY;
		}
		EngineMemory best = null;
		double earliest = Double.POSITIVE_INFINITY;
		for (EngineMemory engine : this.engines) {
			if (this.earmarks.containsKey(engine) || waiting.excludedEngines().contains(engine.id())) {
				continue;
			}
			double millis = engine.roomMillis(waiting.request().tokens(), this.times, this.now);
			if (millis < earliest) {
				best = engine;
				earliest = millis;
			}
		}
		if (best != null) {
			this.earmarks.put(best, new Earmark(waiting.request().tokens(), earliest));
		}
		return earliest;
	}

	/**
	 * Records that a request was placed.
	 * @param engine its engine
	 * @param tokens its tokens
	 * @return whether the engine is earmarked for another request
	 */
	boolean placed(EngineMemory engine, long tokens) {
		this.usedTokens += tokens;
		return this.earmarks.containsKey(engine);
	}

	int earmarks() {
		return this.earmarks.size();
	}

	/**
	 * Returns whether an engine exists that could hold a request.
	 * @param engines the engines
	 * @param tokens tokens of the request
	 * @return whether one exists; while no engine is known, one is expected
	 */
	static boolean canHold(Collection<EngineMemory> engines, long tokens) {
		return engines.isEmpty() || engines.stream().anyMatch((engine) -> tokens <= engine.memoryTokens());
	}

	private record Earmark(long tokens, double millis) {

	}

}
