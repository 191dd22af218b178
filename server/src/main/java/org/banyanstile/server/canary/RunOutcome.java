package org.banyanstile.server.canary;

/**
 * How a request ended that an endpoint ran.
 *
 * @author banyanstile contributors
 */
public enum RunOutcome {

	/**
	 * Completely answered.
	 */
	ANSWERED,

	/**
	 * Answered with the status of an error of the endpoint.
	 */
	FAILED,

	/**
	 * The response broke off or did not arrive.
	 */
	BROKEN

}
