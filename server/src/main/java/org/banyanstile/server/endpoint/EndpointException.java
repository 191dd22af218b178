package org.banyanstile.server.endpoint;

import org.jspecify.annotations.Nullable;

/**
 * A call to an endpoint failed.
 *
 * @author banyanstile contributors
 */
public abstract sealed class EndpointException extends Exception permits EndpointUnreachableException,
		EndpointBrokenException, EndpointRefusedException, TransferStalledException, StreamLostException {

	private static final long serialVersionUID = 1L;

	/**
	 * Creates the exception.
	 * @param message what failed
	 * @param cause the cause, or {@code null}
	 */
	protected EndpointException(String message, @Nullable Throwable cause) {
		super(message, cause);
	}

}
