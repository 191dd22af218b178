package org.banyanstile.server.caller;

/**
 * Why a call that must run at most once did not run.
 *
 * @author banyanstile contributors
 */
public enum NotRunReason {

	/**
	 * This VM is not allowed to serve.
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
