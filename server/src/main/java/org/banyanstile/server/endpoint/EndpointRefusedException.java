package org.banyanstile.server.endpoint;

/**
 * The endpoint answered with an error status.
 *
 * @author banyanstile contributors
 */
public final class EndpointRefusedException extends EndpointException {

	private static final long serialVersionUID = 1L;

	private final int status;

	/**
	 * Creates the exception.
	 * @param status status code of the answer
	 * @param error error text of the answer
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

}
