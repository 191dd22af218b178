package org.banyanstile.server.router;

import java.io.Serial;

/**
 * Thrown if a request certainly did not run at an endpoint.
 *
 * @author banyanstile contributors
 */
final class NotRunException extends Exception {

	@Serial
	private static final long serialVersionUID = 1L;

	private final boolean reachedEndpoint;

	private NotRunException(String message, boolean reachedEndpoint) {
		super(message, null, false, false);
		this.reachedEndpoint = reachedEndpoint;
	}

	static NotRunException notSent(String message) {
		return new NotRunException(message, false);
	}

	static NotRunException refused(String message) {
		return new NotRunException(message, true);
	}

	/**
	 * Returns whether the request reached the endpoint, so that the next attempt counts
	 * as a retry.
	 * @return whether it did
	 */
	boolean hasReachedEndpoint() {
		return this.reachedEndpoint;
	}

	@Override
	public String getMessage() {
		return String.valueOf(super.getMessage());
	}

}
