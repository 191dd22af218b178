package org.banyanstile.server.endpoint;

import org.jspecify.annotations.Nullable;

/**
 * The engine no longer has the stream, or the stream could not be resumed.
 *
 * @author banyanstile contributors
 */
public final class StreamLostException extends EndpointException {

	private static final long serialVersionUID = 1L;

	/**
	 * Creates the exception.
	 * @param message what failed
	 * @param cause the cause, or {@code null}
	 */
	public StreamLostException(String message, @Nullable Throwable cause) {
		super(message, cause);
	}

}
