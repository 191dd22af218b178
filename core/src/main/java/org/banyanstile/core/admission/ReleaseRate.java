package org.banyanstile.core.admission;

import java.util.concurrent.TimeUnit;

/**
 * Rate at which slots become free, measured over the previous period and the current one.
 * Not safe for use by several threads.
 *
 * @author banyanstile contributors
 */
final class ReleaseRate {

	private static final long PERIOD_NANOS = TimeUnit.SECONDS.toNanos(4);

	private long period = Long.MIN_VALUE;

	private int current;

	private int previous;

	void released(long now) {
		roll(now);
		this.current++;
	}

	/**
	 * Returns the rate.
	 * @param now the current time in nanoseconds
	 * @return the releases per nanosecond, 0 if unknown
	 */
	double perNano(long now) {
		roll(now);
		long inPeriod = Math.floorMod(now, PERIOD_NANOS);
		return (this.previous == 0) ? 0 : (this.previous + this.current) / (double) (PERIOD_NANOS + inPeriod);
	}

	private void roll(long now) {
		long index = Math.floorDiv(now, PERIOD_NANOS);
		if (index != this.period) {
			this.previous = (index == this.period + 1) ? this.current : 0;
			this.current = 0;
			this.period = index;
		}
	}

}
