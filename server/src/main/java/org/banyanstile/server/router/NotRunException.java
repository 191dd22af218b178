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

	private final String proof;

	private final boolean reachedEndpoint;

	private NotRunException(String message, String proof, boolean reachedEndpoint) {
		super(message, null, false, false);
		this.proof = proof;
		this.reachedEndpoint = reachedEndpoint;
	}

	static NotRunException notSent(String message) {
		return new NotRunException(message, "not sent: " + message, false);
	}

	static NotRunException refused(String message, Refusal refusal) {
		return new NotRunException(message, refusal.toString(), true);
	}

	/**
	 * Returns what proves that the request did not run.
	 * @return the proof, for the log
	 */
	String proof() {
		return this.proof;
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
