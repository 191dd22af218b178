package org.banyanstile.core.placement;

import java.util.HashMap;
import java.util.Map;

/**
 * Prefill speeds of engines, learned from the prompts of this VM. A measured time
 * includes the queue of the engine, so the estimate follows the fastest prefills: it
 * rises quickly and falls slowly. Safe for use by several threads.
 *
 * @author banyanstile contributors
 */
public final class PrefillSpeeds {

	/**
	 * Speed assumed before the first measurement, in tokens per millisecond.
	 */
	static final double DEFAULT_TOKENS_PER_MILLI = 30;

	/**
	 * Prompts below this length are not measured, since the latency of the network makes
	 * up too much of their time.
	 */
	static final long MIN_TOKENS = 1000;

	/**
	 * Speeds outside this range come from a cached prompt or a stalled engine.
	 */
	static final double MIN_TOKENS_PER_MILLI = 5;

	static final double MAX_TOKENS_PER_MILLI = 500;

	static final double RISE_WEIGHT = 0.3;

	static final double FALL_WEIGHT = 0.02;

	private static final int MAX_ENGINES = 4096;

	private final Map<String, Double> tokensPerMilli = new HashMap<>();

	private double latest = DEFAULT_TOKENS_PER_MILLI;

	/**
	 * Records a prefill.
	 * @param engine id of the engine
	 * @param tokens tokens of the prompt
	 * @param millis time from the request to the response
	 */
	public synchronized void prefilled(String engine, long tokens, long millis) {
		if (tokens < MIN_TOKENS) {
			return;
		}
		double measured = tokens / (double) Math.max(1, millis);
		if (measured < MIN_TOKENS_PER_MILLI || measured > MAX_TOKENS_PER_MILLI) {
			return;
		}
		if (this.tokensPerMilli.size() > MAX_ENGINES) {
			this.tokensPerMilli.clear();
		}
		double old = tokensPerMilli(engine);
		double weight = (measured > old) ? RISE_WEIGHT : FALL_WEIGHT;
		this.latest = old + weight * (measured - old);
		this.tokensPerMilli.put(engine, this.latest);
	}

	/**
	 * Returns the speed of an engine.
	 * @param engine id of the engine
	 * @return tokens per millisecond; for an engine that has not been measured, the speed
	 * of the engine measured last
	 */
	public synchronized double tokensPerMilli(String engine) {
		return this.tokensPerMilli.getOrDefault(engine, this.latest);
	}

}
