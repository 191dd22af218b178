package org.banyanstile.server.router;

import java.io.Serial;

import org.banyanstile.io.http.ConnectionBrokenException;
import org.banyanstile.io.http.HttpException;

/**
 * Thrown if it is unknown whether an endpoint ran a request.
 *
 * @author banyanstile contributors
 */
final class UnknownOutcomeException extends Exception {

	@Serial
	private static final long serialVersionUID = 1L;

	private final boolean connectionBroken;

	private UnknownOutcomeException(String message, boolean connectionBroken) {
		super(message, null, false, false);
		this.connectionBroken = connectionBroken;
	}

	UnknownOutcomeException(String message) {
		this(message, false);
	}

	static UnknownOutcomeException of(HttpException cause) {
		return new UnknownOutcomeException(String.valueOf(cause.getMessage()),
				cause instanceof ConnectionBrokenException);
	}

	/**
	 * Returns whether the connection broke, as when the endpoint crashes.
	 * @return whether it did
	 */
	boolean isConnectionBroken() {
		return this.connectionBroken;
	}

	@Override
	public String getMessage() {
		return String.valueOf(super.getMessage());
	}

}
