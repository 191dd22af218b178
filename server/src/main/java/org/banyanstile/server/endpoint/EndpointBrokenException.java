package org.banyanstile.server.endpoint;

import org.jspecify.annotations.Nullable;

/**
 * The connection broke or stayed silent after the call may have been received.
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
