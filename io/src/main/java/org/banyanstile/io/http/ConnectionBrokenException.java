package org.banyanstile.io.http;

import org.jspecify.annotations.Nullable;

/**
 * The connection broke after the request may have been sent.
 *
 * @author banyanstile contributors
 */
public sealed class ConnectionBrokenException extends HttpException permits MalformedResponseException {

	private static final long serialVersionUID = 1L;

	/**
	 * Creates the exception.
	 * @param message what failed
	 * @param cause the cause, or {@code null}
	 */
	public ConnectionBrokenException(String message, @Nullable Throwable cause) {
		super(message, cause);
	}

}
