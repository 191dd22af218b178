package org.banyanstile.server.endpoint;

import org.jspecify.annotations.Nullable;

/**
 * The connection broke or timed out, and the endpoint may have received the call.
 *
 * @author banyanstile contributors
 */
public final class EndpointBrokenException extends EndpointException {

	private static final long serialVersionUID = 1L;

	/**
	 * Creates the exception.
	 * @param message what failed
	 * @param cause the cause, or {@code null}
	 */
	public EndpointBrokenException(String message, @Nullable Throwable cause) {
		super(message, cause);
	}

}
