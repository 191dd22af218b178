package org.banyanstile.io.http;

import org.jspecify.annotations.Nullable;

/**
 * An HTTP exchange failed below the level of a response status.
 *
 * @author banyanstile contributors
 */
public abstract sealed class HttpException extends Exception
		permits BodyMemoryException, ConnectFailedException, ConnectionBrokenException, ResponseTimeoutException {

	private static final long serialVersionUID = 1L;

	/**
	 * Creates the exception.
	 * @param message what failed
	 * @param cause the cause, or {@code null}
	 */
	protected HttpException(String message, @Nullable Throwable cause) {
		super(message, cause);
	}

}
