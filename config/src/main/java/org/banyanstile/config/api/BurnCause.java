package org.banyanstile.config.api;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * Cause of error budget use. The budgets follow from the targets of the deployments: the
 * latency targets hold at the 95th percentile, rejections within the rate stay under
 * 0.1%, and wasted prefill under 1%.
 *
 * @author banyanstile contributors
 */
public enum BurnCause {

	/**
	 * A request within its team's rate was rejected.
	 */
	@JsonProperty("refusedWithinRate")
	REFUSED_WITHIN_RATE("refused within rate", 0.001),

	/**
	 * The time to the first token exceeded its target.
	 */
	@JsonProperty("lateFirstToken")
	LATE_FIRST_TOKEN("late first token", 0.05),

	/**
	 * The time between tokens exceeded its target.
	 */
	@JsonProperty("slowDecode")
	SLOW_DECODE("slow decode", 0.05),

	/**
	 * A prefill was computed and not used.
	 */
	@JsonProperty("wastedPrefill")
	WASTED_PREFILL("wasted prefill", 0.01),

	/**
	 * An accepted request ended without a complete response.
	 */
	@JsonProperty("lostAnswer")
	LOST_ANSWER("lost answer", 0.0001);

	private final String label;

	private final double budget;

	BurnCause(String label, double budget) {
		this.label = label;
		this.budget = budget;
	}

	/**
	 * Returns the display name.
	 * @return the label
	 */
	public String label() {
		return this.label;
	}

	/**
	 * Returns the permitted fraction of requests.
	 * @return the fraction
	 */
	public double budget() {
		return this.budget;
	}

}
