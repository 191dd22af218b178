package org.banyanstile.emulator.engine;

/**
 * Reduced capacity of an engine in the time after its start, or after a fault made it
 * cold.
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

	synchronized void cool(long until) {
		this.coldUntil = until;
		this.refusals = 0;
	}

	synchronized int capacity(long now) {
		return isCold(now) ? this.coldSlots : this.slots;
	}

	/**
	 * Checks the capacity for one more request.
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
	 * Returns whether a cold engine was driven at full load.
	 * @return {@code true} after as many refusals as a warm engine has slots
	 */
	synchronized boolean isOverdriven() {
		return this.refusals >= this.slots;
	}

}
