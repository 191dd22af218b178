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

	/**
	 * Returns whether the endpoint may have run the request.
	 * @return whether it may
	 */
	public boolean mayHaveRun() {
		return true;
	}

	/**
	 * Returns what proves that the endpoint did not run the request.
	 * @return the proof, or a text which says that there is none
	 */
	public String proof() {
		return mayHaveRun() ? "none, it may have run: " + getMessage() : String.valueOf(getMessage());
	}

}
