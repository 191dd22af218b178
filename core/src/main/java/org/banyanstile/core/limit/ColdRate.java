package org.banyanstile.core.limit;

/**
 * Share of one VM in the request rate that a cold endpoint can take: an equal part of the
 * rate, with a burst of one request. Not safe for use by several threads.
 *
 * @author banyanstile contributors
 */
public final class ColdRate {

	private static final double NANOS = 1e9;

	private double level = 1;

	private long refilledAt;

	private ColdRate(long now) {
		this.refilledAt = now;
	}

	/**
	 * Creates the share of a VM.
	 * @param now the current time in nanoseconds
	 * @return the share
	 */
	public static ColdRate create(long now) {
		return new ColdRate(now);
	}

	/**
	 * Takes a request.
	 * @param perSecond rate of the endpoint over all VMs
	 * @param vms number of VMs that share it
	 * @param now the current time in nanoseconds
	 * @return whether the request may be sent to the endpoint
	 */
	public boolean tryTake(double perSecond, int vms, long now) {
		this.level = Math.min(1,
				this.level + Math.max(0, now - this.refilledAt) / NANOS * perSecond / Math.max(1, vms));
		this.refilledAt = now;
		if (this.level < 1) {
			return false;
		}
		this.level -= 1;
		return true;
	}

}
