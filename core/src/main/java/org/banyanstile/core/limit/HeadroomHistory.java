package org.banyanstile.core.limit;

import java.util.Arrays;

/**
 * Lowest headroom of a bucket in each of the last intervals. Returned tokens are credited
 * only as far as the bucket had room for them during the whole time since they were
 * granted: a larger credit would allow more than burst plus refill in some window of
 * time. Not safe for use by several threads.
 *
 * @author banyanstile contributors
 */
final class HeadroomHistory {

	private static final int INTERVALS = 64;

	private final long intervalNanos;

	private final float[] lowest = new float[INTERVALS];

	private final long firstInterval;

	private long lastInterval;

	HeadroomHistory(long intervalNanos, long now) {
		this.intervalNanos = intervalNanos;
		this.firstInterval = interval(now);
		this.lastInterval = this.firstInterval;
		Arrays.fill(this.lowest, 0);
	}

	private long interval(long nanos) {
		return Math.floorDiv(nanos, this.intervalNanos);
	}

	private static int index(long interval) {
		return (int) Math.floorMod(interval, (long) INTERVALS);
	}

	void record(double headroom, long now) {
		float roundedDown = Math.nextDown((float) headroom);
		long current = interval(now);
		if (current - this.lastInterval >= INTERVALS) {
			Arrays.fill(this.lowest, roundedDown);
		}
		else {
			for (long i = this.lastInterval + 1; i <= current; i++) {
				this.lowest[index(i)] = roundedDown;
			}
			int lastIndex = index(Math.min(this.lastInterval, current));
			this.lowest[lastIndex] = Math.min(this.lowest[lastIndex], roundedDown);
			int currentIndex = index(current);
			this.lowest[currentIndex] = Math.min(this.lowest[currentIndex], roundedDown);
		}
		this.lastInterval = Math.max(this.lastInterval, current);
	}

	boolean covers(long since) {
		long from = interval(since);
		return from > this.firstInterval && from <= this.lastInterval && this.lastInterval - from < INTERVALS - 1;
	}

	double room(long since) {
		double room = Double.MAX_VALUE;
		for (long i = interval(since); i <= this.lastInterval; i++) {
			room = Math.min(room, this.lowest[index(i)]);
		}
		return Math.max(0, room);
	}

	void use(double tokens, long since) {
		long from = Math.max(interval(since), this.lastInterval - INTERVALS + 1);
		for (long i = from; i <= this.lastInterval; i++) {
			this.lowest[index(i)] = Math.nextDown((float) (this.lowest[index(i)] - tokens));
		}
	}

}
