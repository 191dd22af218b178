package org.banyanstile.core.limit;

/**
 * Rate and burst of a team across the whole fleet.
 *
 * @param tokensPerSecond the rate, above 0
 * @param burstTokens the burst, above 0
 * @author banyanstile contributors
 */
public record TeamLimit(double tokensPerSecond, double burstTokens) {

	/**
	 * Validates the limit.
	 * @param tokensPerSecond the rate, above 0
	 * @param burstTokens the burst, above 0
	 */
	public TeamLimit {
		if (!(tokensPerSecond > 0) || !(burstTokens > 0)) {
			throw new IllegalArgumentException(
					"rate and burst must be above 0, got " + tokensPerSecond + " and " + burstTokens);
		}
	}

	/**
	 * Returns the time in which a number of tokens is refilled.
	 * @param tokens the number of tokens
	 * @return the time in nanoseconds, at least one millisecond
	 */
	public long refillNanos(double tokens) {
		return (long) Math.max(1e6, Math.ceil(tokens * 1e9 / this.tokensPerSecond));
	}

}
