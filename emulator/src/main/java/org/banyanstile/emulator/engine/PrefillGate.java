package org.banyanstile.emulator.engine;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * Limits the number of concurrent prefills. The others are queued by priority, then by
 * arrival.
 *
 * @author banyanstile contributors
 */
final class PrefillGate {

	private final int concurrency;

	private final PriorityQueue<Waiter> waiters = new PriorityQueue<>(
			Comparator.comparingInt(Waiter::priority).reversed().thenComparingLong(Waiter::arrival));

	private int running;

	private long arrivals;

	PrefillGate(int concurrency) {
		this.concurrency = concurrency;
	}

	synchronized void enter(int priority, int queueLimit) throws EngineRefusal, InterruptedException {
		if (this.waiters.size() >= queueLimit) {
			throw new EngineRefusal(503, "overloaded");
		}
		Waiter waiter = new Waiter(priority, this.arrivals++);
		this.waiters.add(waiter);
		while (this.running >= this.concurrency || !waiter.equals(this.waiters.peek())) {
			wait();
		}
		this.waiters.remove();
		this.running++;
		notifyAll();
	}

	synchronized void leave() {
		this.running--;
		notifyAll();
	}

	synchronized int load() {
		return this.running + this.waiters.size();
	}

	/**
	 * A prefill that waits.
	 *
	 * @param priority the priority, higher first
	 * @param arrival number of the arrival
	 * @author banyanstile contributors
	 */
	private record Waiter(int priority, long arrival) {
	}

}
