package org.banyanstile.core.scheduling;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * Durations of streams, learned for each engine from those that ended: the time of an
 * output token, and the time from a placement to the first event beyond that of the
 * prefill.
 *
 * @author banyanstile contributors
 */
final class StreamTimes {

	/**
	 * Time of an output token before the first measurement, in milliseconds.
	 */
	static final double DEFAULT_TOKEN_MILLIS = 4;

	/**
	 * Time for the reservation, the transfer of the KV cache and the first event before
	 * the first measurement, in milliseconds.
	 */
	static final double DEFAULT_OVERHEAD_MILLIS = 80;

	/**
	 * Longest overhead that is learned. What takes longer is a failure, which must not
	 * make all requests seem late.
	 */
	static final double MAX_OVERHEAD_MILLIS = 400;

	/**
	 * Share of its expected duration that a stream is expected to go on once that has
	 * passed.
	 */
	static final double OVERDUE_SHARE = 0.15;

	private static final double WEIGHT = 0.1;

	private static final long NANOS_PER_MILLI = 1_000_000;

	private final Map<String, Double> tokenMillis = new HashMap<>();

	private double meanTokenMillis = DEFAULT_TOKEN_MILLIS;

	private double overheadMillis = DEFAULT_OVERHEAD_MILLIS;

	void ended(Placed placed, long streamMillis, long now) {
		if (streamMillis <= 0) {
			return;
		}
		double measured = streamMillis / (double) placed.outputTokens();
		double old = tokenMillis(placed.engine());
		this.tokenMillis.put(placed.engine(), old + WEIGHT * (measured - old));
		this.meanTokenMillis += WEIGHT * (measured - this.meanTokenMillis);
		double overhead = (now - placed.placedAt()) / (double) NANOS_PER_MILLI - streamMillis - placed.prefillMillis();
		if (placed.prefillMillis() > 0) {
			double bounded = Math.max(0, Math.min(MAX_OVERHEAD_MILLIS, overhead));
			this.overheadMillis += WEIGHT * (bounded - this.overheadMillis);
		}
	}

	/**
	 * Returns the time of an output token at an engine.
	 * @param engine the engine
	 * @return the time in milliseconds
	 */
	double tokenMillis(String engine) {
		return this.tokenMillis.getOrDefault(engine, this.meanTokenMillis);
	}

	/**
	 * Returns the expected duration of the stream of a request.
	 * @param request the request
	 * @return the time in milliseconds
	 */
	double streamMillis(GenerationRequest request) {
		return Math.max(1, request.tokens() - request.promptTokens()) * this.meanTokenMillis;
	}

	/**
	 * Returns the expected time from the end of a prefill to the first event, with the
	 * reservation before it.
	 * @return the time in milliseconds
	 */
	double overheadMillis() {
		return this.overheadMillis;
	}

	/**
	 * Returns the expected time from the placement of a request to its end.
	 * @param engine the engine
	 * @param request the request
	 * @param prefillMillis time that the prefill takes
	 * @return the time in milliseconds
	 */
	double totalMillis(String engine, GenerationRequest request, double prefillMillis) {
		return this.overheadMillis + prefillMillis
				+ Math.max(1, request.tokens() - request.promptTokens()) * tokenMillis(engine);
	}

	/**
	 * Returns the expected time until a placed request frees its memory.
	 * @param placed the request
	 * @param millisPerToken time of an output token at its engine
	 * @param now the current time in nanoseconds
	 * @return the time in milliseconds
	 */
	double remainingMillis(Placed placed, double millisPerToken, long now) {
		double total = this.overheadMillis + placed.prefillMillis() + placed.outputTokens() * millisPerToken;
		double age = (now - placed.placedAt()) / (double) NANOS_PER_MILLI;
		return Math.max(total - age, OVERDUE_SHARE * total);
	}

	void retainEngines(Set<String> engines) {
		this.tokenMillis.keySet().retainAll(engines);
	}

}
