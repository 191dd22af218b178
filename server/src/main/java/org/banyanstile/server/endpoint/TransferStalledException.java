package org.banyanstile.server.endpoint;

import org.jspecify.annotations.Nullable;

/**
 * A KV transfer made no progress within the stall timeout.
 *
 * @author banyanstile contributors
 */
public final class TransferStalledException extends EndpointException {

	private static final long serialVersionUID = 1L;

	/**
	 * Creates the exception.
	 * @param message what failed
	 * @param cause the cause, or {@code null}
	 */
	public TransferStalledException(String message, @Nullable Throwable cause) {
		super(message, cause);
	}

}
