package org.banyanstile.server.endpoint;

import org.jspecify.annotations.Nullable;

/**
 * No connection was established, so the endpoint did not receive the call.
 *
 * @author banyanstile contributors
 */
public final class EndpointUnreachableException extends EndpointException {

	private static final long serialVersionUID = 1L;

	/**
	 * Creates the exception.
	 * @param message what failed
	 * @param cause the cause, or {@code null}
	 */
	public EndpointUnreachableException(String message, @Nullable Throwable cause) {
		super(message, cause);
	}

	@Override
	public boolean mayHaveRun() {
		return false;
	}

}
