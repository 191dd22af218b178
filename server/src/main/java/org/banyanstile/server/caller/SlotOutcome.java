package org.banyanstile.server.caller;

/**
 * How the use of a slot ended.
 *
 * @author banyanstile contributors
 */
public enum SlotOutcome {

	/**
	 * The endpoint completed the request.
	 */
	COMPLETED,

	/**
	 * The request was cancelled or never reached the endpoint.
	 */
	CANCELLED,

	/**
	 * The endpoint answered with an error, such as being full or cold.
	 */
	FAILED,

	/**
	 * The connection was refused or broke, so the endpoint may have crashed.
	 */
	BROKEN

}
