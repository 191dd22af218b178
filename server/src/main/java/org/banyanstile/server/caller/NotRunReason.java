package org.banyanstile.server.caller;

/**
 * Why a once-only call did not run.
 *
 * @author banyanstile contributors
 */
public enum NotRunReason {

	/**
	 * This VM may not serve.
	 */
	NOT_SERVING,

	/**
	 * No endpoint accepted a connection.
	 */
	NO_ENDPOINT,

	/**
	 * No endpoint has a free slot.
	 */
	OVERLOADED

}
