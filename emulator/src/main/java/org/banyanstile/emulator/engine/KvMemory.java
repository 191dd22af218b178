package org.banyanstile.emulator.engine;

/**
 * KV memory in pieces of 1,000 tokens.
 *
 * @author banyanstile contributors
 */
final class KvMemory {

	private static final int TOKENS_PER_PIECE = 1000;

	private final int total;

	private int used;

	KvMemory(int total) {
		this.total = total;
	}

	static int pieces(int tokens) {
		return (tokens + TOKENS_PER_PIECE - 1) / TOKENS_PER_PIECE;
	}

	synchronized void reserve(int pieces) throws EngineRefusal {
		if (this.used + pieces > this.total) {
			throw new EngineRefusal(429, "full");
		}
		this.used += pieces;
	}

	synchronized void release(int pieces) {
		if (pieces > this.used) {
			throw new IllegalStateException("released more pieces than were reserved");
		}
		this.used -= pieces;
	}

	synchronized int used() {
		return this.used;
	}

	int total() {
		return this.total;
	}

}
