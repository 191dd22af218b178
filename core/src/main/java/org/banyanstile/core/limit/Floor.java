package org.banyanstile.core.limit;

/**
 * Floor of one team at one VM: the guaranteed share of rate and burst that the VM uses
 * while the owner is unreachable. Not safe for use by several threads.
 *
 * @author banyanstile contributors
 */
final class Floor {

	private double level;

	private long activatedAt = Long.MIN_VALUE;

	private long refilledAt;

	void refill(TeamLimit limit, int slots, FloorSchedule schedule, long now) {
		if (!schedule.isUsable(now)) {
			this.level = 0;
			return;
		}
		if (this.activatedAt != schedule.usableFrom()) {
			this.activatedAt = schedule.usableFrom();
			this.refilledAt = this.activatedAt;
			this.level = 0;
		}
		double refill = Math.max(0, now - this.refilledAt) * 1e-9 * limit.tokensPerSecond() / slots;
		this.level = Math.min(limit.burstTokens() / slots, this.level + refill);
		this.refilledAt = Math.max(now, this.refilledAt);
	}

	long available() {
		return (long) Math.floor(this.level);
	}

	void take(long tokens) {
		this.level -= tokens;
	}

}
