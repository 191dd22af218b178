package org.banyanstile.benchmark;

/**
 * Ways to enforce the rate and burst of a team across VMs.
 *
 * @author banyanstile contributors
 */
enum LimitPolicy {

	/**
	 * Each VM has its own bucket with an equal part of rate and burst.
	 */
	RATE_PER_VM,

	/**
	 * One counter that is queried for every request; its owner starts with a full bucket.
	 */
	CENTRAL_COUNTER,

	/**
	 * The design: grants of the owner, and floors while it is unreachable.
	 */
	FLOORS_AND_GRANTS

}
