package org.banyanstile.core.limit;

/**
 * Time from which a VM may use its floors of one partition, after it acquired its slot
 * and after its last promise not to use them. Not safe for use by several threads.
 *
 * @author banyanstile contributors
 */
final class FloorSchedule {

	private long usableFrom = Long.MAX_VALUE;

	private long promisedUntil = Long.MIN_VALUE;

	void slotAcquired(long now) {
		this.usableFrom = Math.max(this.promisedUntil, now + LimitTimes.NEW_SLOT_DELAY_NANOS);
	}

	void slotLost() {
		this.usableFrom = Long.MAX_VALUE;
	}

	void promiseSent(long now) {
		this.promisedUntil = now + LimitTimes.FLOOR_DELAY_NANOS;
		this.usableFrom = Math.max(this.usableFrom, this.promisedUntil);
	}

	boolean isUsable(long now) {
		return now >= this.usableFrom;
	}

	long usableFrom() {
		return this.usableFrom;
	}

}
