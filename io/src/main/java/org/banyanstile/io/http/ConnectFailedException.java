package org.banyanstile.io.http;

import org.jspecify.annotations.Nullable;

/**
 * No connection was established, so no byte of the request was sent.
 *
 * @author banyanstile contributors
 */
public final class ConnectFailedException extends HttpException {

	private static final long serialVersionUID = 1L;

	/**
	 * Creates the exception.
	 * @param message what failed
	 * @param cause the cause, or {@code null}
	 */
	public ConnectFailedException(String message, @Nullable Throwable cause) {
		super(message, cause);
	}

}
