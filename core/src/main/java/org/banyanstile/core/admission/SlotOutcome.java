package org.banyanstile.core.admission;

/**
 * How the request that held a slot ended.
 *
 * @author banyanstile contributors
 */
public enum SlotOutcome {

	/**
	 * The response was complete and within the latency targets.
	 */
	COMPLETED,

	/**
	 * The response was complete, but late.
	 */
	COMPLETED_LATE,

	/**
	 * The endpoint failed.
	 */
	FAILED,

	/**
	 * The request ended for a reason that says nothing about the endpoint.
	 */
	CANCELLED

}
