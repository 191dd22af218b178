package org.banyanstile.core.lease;

import java.util.random.RandomGenerator;

import org.jspecify.annotations.Nullable;

/**
 * Times of periodic scans, and the pause after a failed store call.
 *
 * @author banyanstile contributors
 */
final class StoreSchedule {

	private static final long SECOND = 1_000_000_000L;

	private static final long SCAN_NANOS = 5 * SECOND;

	/**
	 * Longest pause after a failed call. Half of {@link SlotLease#GRACE_NANOS}, so that a
	 * lease that depends on the outage rule is renewed in time when the store returns.
	 */
	private static final long RETRY_NANOS = SlotLease.GRACE_NANOS / 2;

	private static final int SCAN_LIMIT = 10_000;

	private final RandomGenerator random;

	private boolean started;

	private long nextSlotScan;

	private long nextPartitionScan;

	private long notBefore;

	StoreSchedule(RandomGenerator random) {
		this.random = random;
	}

	boolean isPaused(long now) {
		if (!this.started) {
			this.started = true;
			this.notBefore = now;
			this.nextSlotScan = now;
			this.nextPartitionScan = now;
		}
		return now - this.notBefore < 0;
	}

	@Nullable
	StoreStep scan(long now) {
		if (now - this.nextSlotScan >= 0) {
			return new StoreStep.Scan(SlotRecord.PREFIX, SCAN_LIMIT, now);
		}
		if (now - this.nextPartitionScan >= 0) {
			return new StoreStep.Scan(PartitionRecord.PREFIX, SCAN_LIMIT, now);
		}
		return null;
	}

	void scanned(String prefix, long now) {
		if (prefix.equals(SlotRecord.PREFIX)) {
			this.nextSlotScan = now + SCAN_NANOS;
		}
		else {
			this.nextPartitionScan = now + SCAN_NANOS;
		}
	}

	void requestSlotScan(long now) {
		this.nextSlotScan = now;
	}

	void failed(long now) {
		this.notBefore = now + RETRY_NANOS / 2 + this.random.nextLong(RETRY_NANOS / 2);
	}

}
