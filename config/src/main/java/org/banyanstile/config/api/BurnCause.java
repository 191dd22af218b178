package org.banyanstile.config.api;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * What uses up error budget. The budgets follow from the targets of the deployments: the
 * latency targets hold at the 95th percentile, refusals within rate stay under 0.1%, and
 * wasted prefill under 1%.
 *
 * @author banyanstile contributors
 */
public enum BurnCause {

	/**
	 * A request inside its team's rate was refused.
	 */
	@JsonProperty("refusedWithinRate")
	REFUSED_WITHIN_RATE("refused within rate", 0.001),

	/**
	 * The first token came after its target.
	 */
	@JsonProperty("lateFirstToken")
	LATE_FIRST_TOKEN("late first token", 0.05),

	/**
	 * The time between tokens was over its target.
	 */
	@JsonProperty("slowDecode")
	SLOW_DECODE("slow decode", 0.05),

	/**
	 * A prefill was computed and not used.
	 */
	@JsonProperty("wastedPrefill")
	WASTED_PREFILL("wasted prefill", 0.01),

	/**
	 * An accepted request ended without its whole answer.
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
	 * Returns the name for people.
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
