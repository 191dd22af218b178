package org.banyanstile.core.burn;

import java.util.Map;

/**
 * Use of the error budget in one window.
 *
 * @param requests the requests
 * @param bad the requests that missed the objective, by cause
 * @author banyanstile contributors
 */
public record BurnReport(long requests, Map<Cause, Long> bad) {

	/**
	 * Copies the counts.
	 * @param requests the requests
	 * @param bad the requests that missed the objective, by cause
	 */
	public BurnReport {
		bad = Map.copyOf(bad);
	}

	/**
	 * Returns the burn rate, the speed at which the error budget is used up.
	 * @param objective the fraction of requests that must be good, below 1
	 * @return 1 if the budget is used up exactly at the end of its period
	 */
	public double burnRate(double objective) {
		long total = this.bad.values().stream().mapToLong(Long::longValue).sum();
		return (this.requests == 0) ? 0 : (double) total / this.requests / (1 - objective);
	}

}
