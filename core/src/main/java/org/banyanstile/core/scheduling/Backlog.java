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

	private static final int BUCKET_MILLIS = 40;

	private static final int BUCKETS = 200;

	private static final int FULL_BUCKET = (int) (EngineMemory.FULL_NANOS / 1_000_000) / BUCKET_MILLIS;

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
			if (engine.isFull(now)) {
				backlog.freed[FULL_BUCKET] += Math.max(0, engine.memoryTokens() - engine.usedTokens());
			}
			for (EngineMemory.Release release : engine.releases(times, now)) {
				int at = (int) (release.millis() / BUCKET_MILLIS);
				backlog.freed[Math.min(at, BUCKETS - 1)] += release.tokens();
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
	 */
	void addMemory(GenerationRequest request) {
		this.queuedTokens += request.tokens();
		while (this.bucket < BUCKETS && this.available < this.queuedTokens) {
			this.available += this.freed[this.bucket++];
		}
	}

	/**
	 * Returns the time until memory is free for all requests in the queue.
	 * @param preceding tokens per millisecond of the requests that are expected to arrive
	 * and to go before the last
	 * @return the time in milliseconds
	 */
	double memoryMillis(double preceding) {
		int end = this.bucket;
		long sum = this.available;
		while (end < BUCKETS && sum - preceding * end * BUCKET_MILLIS < this.queuedTokens) {
			sum += this.freed[end++];
		}
		return (double) end * BUCKET_MILLIS;
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
