package org.banyanstile.core.admission;

/**
 * End of the use of a slot.
 *
 * @author banyanstile contributors
 */
public enum SlotOutcome {

	/**
	 * The answer was complete, within the latency targets.
	 */
	COMPLETED,

	/**
	 * The answer was complete, but late.
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
