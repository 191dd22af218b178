package org.banyanstile.benchmark;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * Events in virtual time, in order of time and then of their creation.
 *
 * @author banyanstile contributors
 */
final class EventQueue {

	private final PriorityQueue<Event> events = new PriorityQueue<>(
			Comparator.comparingLong(Event::at).thenComparingLong(Event::sequence));

	private long now;

	private long sequence;

	long now() {
		return this.now;
	}

	void at(long time, Runnable action) {
		this.events.add(new Event(Math.max(time, this.now), this.sequence++, action));
	}

	void after(long nanos, Runnable action) {
		at(this.now + nanos, action);
	}

	void every(long nanos, Runnable action) {
		after(nanos, () -> {
			action.run();
			every(nanos, action);
		});
	}

	void run(long until) {
		for (Event event = this.events.peek(); event != null && event.at() <= until; event = this.events.peek()) {
			this.events.remove();
			this.now = event.at();
			event.action().run();
		}
		this.now = until;
	}

	private record Event(long at, long sequence, Runnable action) {
	}

}
