package org.banyanstile.server.endpoint;

import org.banyanstile.core.attempt.RefusalStatus;

/**
 * The endpoint responded with an error.
 *
 * @author banyanstile contributors
 */
public final class EndpointRefusedException extends EndpointException {

	private static final long serialVersionUID = 1L;

	private final int status;

	/**
	 * Creates the exception.
	 * @param status status code of the response
	 * @param error error text of the response
	 */
	public EndpointRefusedException(int status, String error) {
		super("status " + status + ": " + error, null);
		this.status = status;
	}

	/**
	 * Returns the status code.
	 * @return the status code
	 */
	public int status() {
		return this.status;
	}

	@Override
	public boolean mayHaveRun() {
		return !RefusalStatus.isProof(this.status);
	}

}
