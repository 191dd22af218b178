package org.banyanstile.emulator.platform;

import java.util.concurrent.TimeUnit;

/**
 * Token bucket whose burst is the calls of a quarter of a second.
 *
 * @author banyanstile contributors
 */
final class RateLimit {

	private final double perSecond;

	private final double burst;

	private double level;

	private long filledAt;

	RateLimit(int perSecond, long now) {
		this.perSecond = perSecond;
		this.burst = Math.max(1, perSecond / 4.0);
		this.level = this.burst;
		this.filledAt = now;
	}

	synchronized boolean tryAcquire(long now) {
		double seconds = (double) (now - this.filledAt) / TimeUnit.SECONDS.toNanos(1);
		this.level = Math.min(this.burst, this.level + seconds * this.perSecond);
		this.filledAt = now;
		if (this.level < 1) {
			return false;
		}
		this.level--;
		return true;
	}

}
