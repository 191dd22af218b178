package org.banyanstile.core.scheduling;

import java.util.List;

import org.banyanstile.core.catalog.RegisteredEndpoint;

/**
 * Expected wait of a queue. Adds up the memory that the placed requests free over time,
 * and finds when it covers the requests ahead; likewise for prompts and the speed of the
 * prefill engines.
 *
 * @author banyanstile contributors
 */
final class Backlog {

	private static final int BUCKET_MILLIS = 25;

	private static final int BUCKETS = 480;

	private final long[] freed = new long[BUCKETS];

	private final StreamTimes times;

	private int bucket;

	private long available;

	private long queuedTokens;

	private long memoryTokens;

	private double tokensPerMilli;

	private double queuedPromptMillis;

	private Backlog(StreamTimes times) {
		this.times = times;
	}

	/**
	 * Creates the backlog of an empty queue.
	 * @param ledger the placed requests
	 * @param prefills queues of the prefill engines
	 * @param times expected durations of streams
	 * @param now the current time in nanoseconds
	 * @return the backlog
	 */
	static Backlog of(PlacementLedger ledger, PrefillQueues prefills, StreamTimes times, long now) {
		Backlog backlog = new Backlog(times);
		for (EngineMemory engine : ledger.decodeEngines()) {
			backlog.memoryTokens += engine.memoryTokens();
			for (Placed placed : engine.requests()) {
				int at = (int) (times.remainingMillis(placed, now) / BUCKET_MILLIS);
				backlog.freed[Math.min(at, BUCKETS - 1)] += placed.tokens();
			}
		}
		List<RegisteredEndpoint> engines = ledger.prefillEngines();
		for (RegisteredEndpoint engine : engines) {
			backlog.tokensPerMilli += prefills.tokensPerMilli(engine.id());
			backlog.queuedPromptMillis += prefills.backlogMillis(engine.id(), now) / engines.size();
		}
		return backlog;
	}

	/**
	 * Adds a request to the end of the queue for memory.
	 * @param request the request
	 * @param preceding tokens per millisecond of the requests that are expected to arrive
	 * and to go before it
	 * @return the time until memory is free for it and all ahead, in milliseconds
	 */
	double addMemory(GenerationRequest request, double preceding) {
		this.queuedTokens += request.tokens();
		while (this.bucket < BUCKETS && this.available - preceding * this.bucket * BUCKET_MILLIS < this.queuedTokens) {
			this.available += this.freed[this.bucket++];
		}
		return (double) this.bucket * BUCKET_MILLIS;
	}

	/**
	 * Adds a prompt to the end of the queue for prefill engines.
	 * @param request its request
	 * @return the time until an engine may get it, in milliseconds
	 */
	double addPrompt(GenerationRequest request) {
		double wait = prefillMillis();
		if (this.tokensPerMilli > 0) {
			this.queuedPromptMillis += request.promptTokens() / this.tokensPerMilli;
		}
		return wait;
	}

	/**
	 * Returns the time in which the prefill engines process the prompts in the queue and
	 * those that they have.
	 * @return the time in milliseconds
	 */
	double promptMillis() {
		return this.queuedPromptMillis;
	}

	/**
	 * Returns the time until a prefill engine may get another prompt.
	 * @return the time in milliseconds
	 */
	double prefillMillis() {
		return Math.max(0, this.queuedPromptMillis - PrefillChoice.MAX_BACKLOG_MILLIS);
	}

	/**
	 * Returns the time in which the engines free the memory that a request needs.
	 * @param request the request
	 * @return the time in milliseconds
	 */
	double turnoverMillis(GenerationRequest request) {
		return this.times.streamMillis(request) * request.tokens() / Math.max(1, this.memoryTokens);
	}

}
