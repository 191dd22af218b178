package org.banyanstile.server.caller;

import java.util.Locale;

/**
 * What an error states about the call at the endpoint.
 *
 * @author banyanstile contributors
 */
public enum RunState {

	/**
	 * The call did not run and will not run.
	 */
	NOT_RUN,

	/**
	 * The call may have run.
	 */
	UNKNOWN,

	/**
	 * The endpoint received the call and refused it.
	 */
	REFUSED_BY_ENDPOINT;

	/**
	 * Returns the name in the error body.
	 * @return the name
	 */
	public String wireName() {
		return name().toLowerCase(Locale.ROOT);
	}

}
