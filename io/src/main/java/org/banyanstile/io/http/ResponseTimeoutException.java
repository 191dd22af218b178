package org.banyanstile.io.http;

import org.jspecify.annotations.Nullable;

/**
 * The peer sent no data within the timeout. The request may have been processed.
 *
 * @author banyanstile contributors
 */
public final class ResponseTimeoutException extends HttpException {

	private static final long serialVersionUID = 1L;

	/**
	 * Creates the exception.
	 * @param message what failed
	 * @param cause the cause, or {@code null}
	 */
	public ResponseTimeoutException(String message, @Nullable Throwable cause) {
		super(message, cause);
	}

}
