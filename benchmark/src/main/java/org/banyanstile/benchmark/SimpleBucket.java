package org.banyanstile.benchmark;

import org.banyanstile.core.limit.TeamLimit;

/**
 * Plain token bucket of the naive versions.
 *
 * @author banyanstile contributors
 */
final class SimpleBucket {

	private final double perNano;

	private final double burst;

	private double level;

	private long refilledAt;

	SimpleBucket(TeamLimit limit, int parts, long now) {
		this.perNano = limit.tokensPerSecond() * 1e-9 / parts;
		this.burst = limit.burstTokens() / parts;
		this.level = this.burst;
		this.refilledAt = now;
	}

	boolean take(long tokens, long now) {
		this.level = Math.min(this.burst, this.level + (now - this.refilledAt) * this.perNano);
		this.refilledAt = now;
		if (this.level < tokens) {
			return false;
		}
		this.level -= tokens;
		return true;
	}

}
