package org.banyanstile.core.burn;

/**
 * Cause of a request that counts against the error budget.
 *
 * @author banyanstile contributors
 */
public enum Cause {

	/**
	 * Refused although the team was within its rate.
	 */
	REFUSED_WITHIN_RATE,

	/**
	 * The first token came after the target.
	 */
	LATE_FIRST_TOKEN,

	/**
	 * The time between tokens exceeded the target.
	 */
	SLOW_DECODE,

	/**
	 * A prefill was done and its result not used.
	 */
	WASTED_PREFILL,

	/**
	 * The answer was cut off or lost.
	 */
	LOST_ANSWER

}
