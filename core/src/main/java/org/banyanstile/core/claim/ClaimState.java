package org.banyanstile.core.claim;

/**
 * State of a claim row.
 *
 * @author banyanstile contributors
 */
public enum ClaimState {

	/**
	 * A VM may run the call.
	 */
	CLAIMED,

	/**
	 * The endpoint responded.
	 */
	ANSWERED,

	/**
	 * The endpoint refused the call.
	 */
	REFUSED,

	/**
	 * It is not known whether the call ran, and it will not run again.
	 */
	UNKNOWN,

	/**
	 * No attempt has run the call, so it can be claimed.
	 */
	VOID

}
