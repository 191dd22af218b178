package org.banyanstile.core.scheduling;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/**
 * Prompts queued at each engine, and the speed at which it prefills them. All prompts of
 * a group of engines are placed by one scheduler, so that a measured time can be
 * corrected by the queue before it.
 *
 * @author banyanstile contributors
 */
final class PrefillQueues {

	/**
	 * Speed assumed before the first measurement, in tokens per millisecond.
	 */
	static final double DEFAULT_TOKENS_PER_MILLI = 30;

	/**
	 * Time of a request and its response beside the prefill, in milliseconds.
	 */
	static final double FIXED_MILLIS = 15;

	/**
	 * Prompts below this length are not measured, since the latency of the network makes
	 * up too much of their time.
	 */
	static final long MIN_TOKENS = 500;

	static final double MIN_TOKENS_PER_MILLI = 1;

	static final double MAX_TOKENS_PER_MILLI = 500;

	private static final double WEIGHT = 0.25;

	private static final long NANOS_PER_MILLI = 1_000_000;

	private final Map<String, Queue> queues = new HashMap<>();

	private double meanTokensPerMilli = DEFAULT_TOKENS_PER_MILLI;

	void begin(String engine, String requestId, long tokens, long now) {
		Queue queue = this.queues.computeIfAbsent(engine, (id) -> new Queue());
		if (queue.prompts.isEmpty()) {
			queue.headStartedAt = now;
		}
		if (queue.prompts.put(requestId, tokens) == null) {
			queue.tokens += tokens;
		}
	}

	/**
	 * Removes a prompt whose prefill ended or was given up.
	 * @param engine the engine
	 * @param requestId id of the request
	 * @param now the current time in nanoseconds
	 */
	void end(String engine, String requestId, long now) {
		Queue queue = this.queues.get(engine);
		Long tokens = (queue != null) ? queue.prompts.remove(requestId) : null;
		if (queue != null && tokens != null) {
			queue.tokens -= tokens;
			queue.headStartedAt = now;
		}
	}

	/**
	 * Learns the speed of an engine from a prefill, before its end is recorded.
	 * @param engine the engine
	 * @param tokens tokens of the prompt
	 * @param millis time from the request to the response
	 * @param now the current time in nanoseconds
	 */
	void measure(String engine, long tokens, long millis, long now) {
		if (tokens < MIN_TOKENS || millis <= 0) {
			return;
		}
		Queue queue = this.queues.computeIfAbsent(engine, (id) -> new Queue());
		double sinceHead = queue.prompts.isEmpty() ? millis
				: (now - queue.headStartedAt) / (double) NANOS_PER_MILLI + FIXED_MILLIS;
		double measured = tokens / Math.max(1, Math.min(millis, sinceHead) - FIXED_MILLIS);
		if (measured < MIN_TOKENS_PER_MILLI || measured > MAX_TOKENS_PER_MILLI) {
			return;
		}
		// Averages times rather than speeds, so that a stall of the engine counts.
		double old = tokensPerMilli(engine);
		queue.tokensPerMilli = 1 / (1 / old + WEIGHT * (1 / measured - 1 / old));
		this.meanTokensPerMilli += 0.2 * WEIGHT * (measured - this.meanTokensPerMilli);
	}

	double tokensPerMilli(String engine) {
		Queue queue = this.queues.get(engine);
		return (queue != null && queue.tokensPerMilli > 0) ? queue.tokensPerMilli : this.meanTokensPerMilli;
	}

	double meanTokensPerMilli() {
		return this.meanTokensPerMilli;
	}

	/**
	 * Returns the time until an engine has prefilled its queue. A prefill that is overdue
	 * is expected to take as long again as it is overdue.
	 * @param engine the engine
	 * @param now the current time in nanoseconds
	 * @return the time in milliseconds
	 */
	double backlogMillis(String engine, long now) {
		Queue queue = this.queues.get(engine);
		if (queue == null || queue.prompts.isEmpty()) {
			return 0;
		}
		double speed = tokensPerMilli(engine);
		long head = queue.prompts.values().iterator().next();
		double headMillis = FIXED_MILLIS + head / speed - (now - queue.headStartedAt) / (double) NANOS_PER_MILLI;
		return Math.abs(headMillis) + (queue.tokens - head) / speed;
	}

	long queuedTokens(String engine) {
		Queue queue = this.queues.get(engine);
		return (queue != null) ? queue.tokens : 0;
	}

	void retainEngines(Set<String> engines) {
		this.queues.entrySet()
			.removeIf((entry) -> !engines.contains(entry.getKey()) && entry.getValue().prompts.isEmpty());
	}

	/**
	 * Prompts at an engine, in the order of their placement.
	 *
	 * @author banyanstile contributors
	 */
	private static final class Queue {

		private final Map<String, Long> prompts = new LinkedHashMap<>();

		private long tokens;

		private long headStartedAt;

		private double tokensPerMilli;

	}

}
