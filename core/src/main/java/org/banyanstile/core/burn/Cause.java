package org.banyanstile.core.burn;

/**
 * Cause of a request that counts against the error budget.
 *
 * @author banyanstile contributors
 */
public enum Cause {

	/**
	 * Rejected although the team was within its rate.
	 */
	REFUSED_WITHIN_RATE,

	/**
	 * The first token came later than the target.
	 */
	LATE_FIRST_TOKEN,

	/**
	 * The time between tokens exceeded the target.
	 */
	SLOW_DECODE,

	/**
	 * A prefill was completed and its result was not used.
	 */
	WASTED_PREFILL,

	/**
	 * The response was truncated or lost.
	 */
	LOST_ANSWER

}
