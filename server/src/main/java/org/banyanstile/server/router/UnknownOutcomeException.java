package org.banyanstile.server.router;

import java.io.Serial;

/**
 * Thrown if it is unknown whether an endpoint ran a request.
 *
 * @author banyanstile contributors
 */
final class UnknownOutcomeException extends Exception {

	@Serial
	private static final long serialVersionUID = 1L;

	UnknownOutcomeException(String message) {
		super(message, null, false, false);
	}

	@Override
	public String getMessage() {
		return String.valueOf(super.getMessage());
	}

}
