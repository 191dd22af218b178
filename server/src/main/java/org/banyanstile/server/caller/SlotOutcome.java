package org.banyanstile.server.caller;

/**
 * How the use of an endpoint slot ended.
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
	 * The endpoint responded with an error, such as being full or in cold start, or
	 * refused the connection.
	 */
	FAILED,

	/**
	 * The connection broke or timed out, so the endpoint may have crashed.
	 */
	BROKEN

}
