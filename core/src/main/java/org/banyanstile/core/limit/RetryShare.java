package org.banyanstile.core.limit;

import java.util.ArrayDeque;

/**
 * Share of one VM in the retry budget of a service. Retries are bounded by a fraction of
 * this VM's own requests and an equal part of the fixed extra, so that the sum over all
 * VMs stays within the budget without any coordination, also during a network partition.
 * Not safe for use by several threads.
 *
 * @author banyanstile contributors
 */
public final class RetryShare {

	/**
	 * Part of the budget that is used. The rest covers requests that are counted in
	 * another window than their retries.
	 */
	static final double USED_PART = 0.7;

	private final long windowNanos;

	private final ArrayDeque<Long> requests = new ArrayDeque<>();

	private final ArrayDeque<Long> retries = new ArrayDeque<>();

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
	 * Records a request.
	 * @param now the current time in nanoseconds
	 */
	public void request(long now) {
		this.requests.addLast(now);
		trim(now);
	}

	/**
	 * Takes a retry from the share.
	 * @param ratio retries that are allowed for each request
	 * @param extra additional retries that are allowed for all VMs together
	 * @param vms number of VMs that share the extra
	 * @param now the current time in nanoseconds
	 * @return whether the retry is allowed
	 */
	public boolean tryRetry(double ratio, double extra, int vms, long now) {
		trim(now);
		double allowed = USED_PART * (ratio * this.requests.size() + extra / Math.max(1, vms));
		if (this.retries.size() + 1 > allowed) {
			return false;
		}
		this.retries.addLast(now);
		return true;
	}

	private void trim(long now) {
		trim(this.requests, now);
		trim(this.retries, now);
	}

	private void trim(ArrayDeque<Long> times, long now) {
		while (!times.isEmpty() && now - times.peekFirst() > this.windowNanos) {
			times.pollFirst();
		}
	}

}
