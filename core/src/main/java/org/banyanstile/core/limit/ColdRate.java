package org.banyanstile.core.limit;

/**
 * Share of one VM in the request rate that a cold endpoint can take, with a burst of one
 * request. In a fleet with more VMs than half the requests of a second, only the first
 * VMs in the order of the endpoint have a share, since the bursts of all VMs come at the
 * same moment: when the endpoint joins. Not safe for use by several threads.
 *
 * @author banyanstile contributors
 */
public final class ColdRate {

	/**
	 * Part of the requests of a second that may be sent at once, as the bursts of all
	 * VMs.
	 */
	static final double BURST_SECONDS = 0.5;

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
	 * @param position position of this VM in the order of the endpoint
	 * @param now the current time in nanoseconds
	 * @return whether the request may be sent to the endpoint
	 */
	public boolean tryTake(double perSecond, FleetPosition.Position position, long now) {
		int senders = (int) Math.max(1, Math.min(position.vms(), BURST_SECONDS * perSecond));
		this.level = Math.min(1, this.level + Math.max(0, now - this.refilledAt) / NANOS * perSecond / senders);
		this.refilledAt = now;
		if (position.rank() >= senders || this.level < 1) {
			return false;
		}
		this.level -= 1;
		return true;
	}

}
