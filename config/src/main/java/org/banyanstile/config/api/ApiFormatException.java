package org.banyanstile.config.api;

/**
 * A text is not the expected message of the operator interface.
 *
 * @author banyanstile contributors
 */
public final class ApiFormatException extends Exception {

	private static final long serialVersionUID = 1L;

	/**
	 * Creates the exception.
	 * @param message what is wrong
	 * @param cause the cause
	 */
	public ApiFormatException(String message, Throwable cause) {
		super(message, cause);
	}

}
