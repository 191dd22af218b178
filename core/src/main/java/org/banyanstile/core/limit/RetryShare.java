package org.banyanstile.core.limit;

import java.util.ArrayDeque;

/**
 * Share of one VM in the retry budget of a service. Repeats are bounded by a part of this
 * VM's own requests and an equal part of the fixed extra, so that the sum over all VMs
 * stays in the budget without any coordination, also across partitions. Not safe for use
 * by several threads.
 *
 * @author banyanstile contributors
 */
public final class RetryShare {

	/**
	 * Part of the budget that is used. The rest covers requests that are counted in
	 * another window than their repeats.
	 */
	static final double USED = 0.7;

	private final long windowNanos;

	private final ArrayDeque<Long> requests = new ArrayDeque<>();

	private final ArrayDeque<Long> repeats = new ArrayDeque<>();

	private RetryShare(long windowNanos) {
		this.windowNanos = windowNanos;
	}

	/**
	 * Creates a share.
	 * @param windowNanos length of the sliding window of the budget
	 * @return the share
	 */
	public static RetryShare create(long windowNanos) {
		return new RetryShare(windowNanos);
	}

	/**
	 * Notes a request.
	 * @param now the current time in nanoseconds
	 */
	public void request(long now) {
		this.requests.addLast(now);
		trim(now);
	}

	/**
	 * Takes a repeat.
	 * @param ratio repeats that are allowed for each request
	 * @param extra repeats of all VMs that are allowed besides
	 * @param vms number of VMs that share the extra
	 * @param now the current time in nanoseconds
	 * @return whether the repeat is allowed
	 */
	public boolean tryRepeat(double ratio, double extra, int vms, long now) {
		trim(now);
		double allowed = USED * (ratio * this.requests.size() + extra / Math.max(1, vms));
		if (this.repeats.size() + 1 > allowed) {
			return false;
		}
		this.repeats.addLast(now);
		return true;
	}

	private void trim(long now) {
		trim(this.requests, now);
		trim(this.repeats, now);
	}

	private void trim(ArrayDeque<Long> times, long now) {
		while (!times.isEmpty() && now - times.peekFirst() > this.windowNanos) {
			times.pollFirst();
		}
	}

}
