package org.banyanstile.core.burn;

import java.util.concurrent.TimeUnit;

/**
 * Window over which the use of the error budget is counted. Each is a ring of buckets, so
 * a count covers at most one bucket more than the window.
 *
 * @author banyanstile contributors
 */
public enum BurnWindow {

	/**
	 * Five minutes, in buckets of 30 s.
	 */
	FIVE_MINUTES(TimeUnit.SECONDS.toNanos(30), 10),

	/**
	 * One hour, in buckets of 5 min.
	 */
	ONE_HOUR(TimeUnit.MINUTES.toNanos(5), 12),

	/**
	 * Six hours, in buckets of 30 min.
	 */
	SIX_HOURS(TimeUnit.MINUTES.toNanos(30), 12),

	/**
	 * Three days, in buckets of 6 h.
	 */
	THREE_DAYS(TimeUnit.HOURS.toNanos(6), 12);

	private final long bucketNanos;

	private final int buckets;

	BurnWindow(long bucketNanos, int buckets) {
		this.bucketNanos = bucketNanos;
		this.buckets = buckets;
	}

	long bucketNanos() {
		return this.bucketNanos;
	}

	int buckets() {
		return this.buckets;
	}

}
