package org.banyanstile.core.limit;

import java.util.concurrent.TimeUnit;

/**
 * Times of the protocol between the owner of a team bucket and the VMs that hold slots.
 *
 * @author banyanstile contributors
 */
public final class LimitTimes {

	/**
	 * Time for which a heartbeat promises that the sender does not use its floors.
	 */
	public static final long PROMISE_NANOS = TimeUnit.SECONDS.toNanos(3);

	/**
	 * Validity of a grant.
	 */
	public static final long GRANT_NANOS = TimeUnit.SECONDS.toNanos(2);

	/**
	 * Allowance for the drift between two monotonic clocks.
	 */
	public static final long MARGIN_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

	/**
	 * Time from the last promise to the first use of a floor. The owner counts the share
	 * as its own until the promise expires, and tokens that it granted until then stay
	 * valid for one more grant validity.
	 */
	public static final long FLOOR_DELAY_NANOS = PROMISE_NANOS + GRANT_NANOS + MARGIN_NANOS;

	/**
	 * Age up to which a scan of the slot rows proves that a slot is unheld.
	 */
	public static final long SCAN_NANOS = TimeUnit.SECONDS.toNanos(6);

	/**
	 * Time from the acquisition of a slot to the first use of its floors. It exceeds the
	 * age of a scan plus one grant validity.
	 */
	public static final long NEW_SLOT_DELAY_NANOS = TimeUnit.SECONDS.toNanos(10);

	/**
	 * Longest time until an unreachable owner is replaced: lease and margin.
	 */
	public static final long TAKEOVER_NANOS = TimeUnit.SECONDS.toNanos(16);

	/**
	 * Retry time of a refusal while the ownership of a bucket is not established. It is
	 * established after 0 to 16 s; with the longest time as the retry time, callers
	 * waited 16 s for an owner that was available much sooner.
	 */
	public static final long SHORT_RETRY_NANOS = TimeUnit.SECONDS.toNanos(1);

	private LimitTimes() {
	}

}
