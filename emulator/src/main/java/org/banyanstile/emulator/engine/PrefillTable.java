package org.banyanstile.emulator.engine;

import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;

/**
 * Prefill results. A result expires and counts as wasted unless it is exported in time; a
 * running export defers the expiry.
 *
 * @author banyanstile contributors
 */
final class PrefillTable {

	private final long expiryNanos;

	private final KvMemory memory;

	private final Map<String, Result> results = new HashMap<>();

	private long added;

	private long wasted;

	private long wastedTokens;

	PrefillTable(long expiryNanos, KvMemory memory) {
		this.expiryNanos = expiryNanos;
		this.memory = memory;
	}

	/**
	 * Adds a result whose pieces are already reserved.
	 * @param requestId the request
	 * @param prompt the prompt
	 * @param now the time in nanoseconds
	 * @return identifier of the result
	 */
	synchronized String add(String requestId, String prompt, long now) {
		String id = "p" + ++this.added;
		this.results.put(id, new Result(requestId, prompt, now + this.expiryNanos));
		return id;
	}

	synchronized String beginExport(String id, long now) throws EngineRefusal {
		expire(now);
		Result result = this.results.get(id);
		if (result == null) {
			throw new EngineRefusal(410, "expired");
		}
		result.exports++;
		return result.prompt;
	}

	synchronized void endExport(String id, boolean complete) {
		Result result = this.results.get(id);
		if (result == null) {
			return;
		}
		result.exports--;
		if (complete) {
			this.results.remove(id);
			this.memory.release(result.pieces());
		}
	}

	synchronized int cancel(String requestId) {
		int cancelled = 0;
		for (Iterator<Result> i = this.results.values().iterator(); i.hasNext();) {
			Result result = i.next();
			if (result.requestId.equals(requestId)) {
				i.remove();
				waste(result);
				cancelled++;
			}
		}
		return cancelled;
	}

	synchronized void expire(long now) {
		for (Iterator<Result> i = this.results.values().iterator(); i.hasNext();) {
			Result result = i.next();
			if (result.exports == 0 && now - result.expiresAt >= 0) {
				i.remove();
				waste(result);
			}
		}
	}

	private void waste(Result result) {
		this.wasted++;
		this.wastedTokens += EngineText.tokens(result.prompt);
		this.memory.release(result.pieces());
	}

	synchronized long added() {
		return this.added;
	}

	synchronized long wasted() {
		return this.wasted;
	}

	synchronized long wastedTokens() {
		return this.wastedTokens;
	}

	/**
	 * A result.
	 *
	 * @author banyanstile contributors
	 */
	private static final class Result {

		private final String requestId;

		private final String prompt;

		private final long expiresAt;

		private int exports;

		Result(String requestId, String prompt, long expiresAt) {
			this.requestId = requestId;
			this.prompt = prompt;
			this.expiresAt = expiresAt;
		}

		int pieces() {
			return KvMemory.pieces(EngineText.tokens(this.prompt));
		}

	}

}
