package org.banyanstile.server.router;

import java.io.Serial;

/**
 * An endpoint certainly did not run a request.
 *
 * @author banyanstile contributors
 */
final class NotRunException extends Exception {

	@Serial
	private static final long serialVersionUID = 1L;

	private final boolean arrived;

	private NotRunException(String message, boolean arrived) {
		super(message, null, false, false);
		this.arrived = arrived;
	}

	static NotRunException notSent(String message) {
		return new NotRunException(message, false);
	}

	static NotRunException rejected(String message) {
		return new NotRunException(message, true);
	}

	/**
	 * Returns whether the request reached the endpoint, which counts as a use of the
	 * retry budget.
	 * @return whether it did
	 */
	boolean hasArrived() {
		return this.arrived;
	}

	@Override
	public String getMessage() {
		return String.valueOf(super.getMessage());
	}

}
