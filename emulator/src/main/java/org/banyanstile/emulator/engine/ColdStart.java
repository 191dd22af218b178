package org.banyanstile.emulator.engine;

/**
 * Reduced capacity of an engine after its start, or after an injected fault made it cold.
 *
 * @author banyanstile contributors
 */
final class ColdStart {

	private final int slots;

	private final int coldSlots;

	private long coldUntil;

	private int refusals;

	ColdStart(int slots, int coldSlots, long coldUntil) {
		this.slots = slots;
		this.coldSlots = coldSlots;
		this.coldUntil = coldUntil;
	}

	synchronized boolean isCold(long now) {
		return now - this.coldUntil < 0;
	}

	synchronized void makeCold(long until) {
		this.coldUntil = until;
		this.refusals = 0;
	}

	synchronized int capacity(long now) {
		return isCold(now) ? this.coldSlots : this.slots;
	}

	/**
	 * Checks that there is capacity for one more request.
	 * @param active requests that hold capacity
	 * @param now the time in nanoseconds
	 * @throws EngineRefusal if there is no capacity
	 */
	synchronized void check(int active, long now) throws EngineRefusal {
		if (active < capacity(now)) {
			return;
		}
		if (isCold(now)) {
			this.refusals++;
			throw new EngineRefusal(503, "cold");
		}
		throw new EngineRefusal(429, "full");
	}

	/**
	 * Returns whether a cold engine received the load of a warm one.
	 * @return {@code true} after as many refusals as a warm engine has slots
	 */
	synchronized boolean isOverloaded() {
		return this.refusals >= this.slots;
	}

}
