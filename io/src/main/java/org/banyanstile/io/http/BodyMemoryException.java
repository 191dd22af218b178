package org.banyanstile.io.http;

/**
 * There was no memory to buffer the body of a response.
 *
 * @author banyanstile contributors
 */
public final class BodyMemoryException extends HttpException {

	private static final long serialVersionUID = 1L;

	/**
	 * Creates the exception.
	 * @param message what did not fit
	 */
	public BodyMemoryException(String message) {
		super(message, null);
	}

}
