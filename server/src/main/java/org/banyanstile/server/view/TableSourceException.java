package org.banyanstile.server.view;

import java.io.Serial;

import org.jspecify.annotations.Nullable;

/**
 * The platform's store did not answer a call as expected.
 *
 * @author banyanstile contributors
 */
public class TableSourceException extends Exception {

	@Serial
	private static final long serialVersionUID = 1L;

	/**
	 * Creates an exception.
	 * @param message what happened
	 * @param cause the cause
	 */
	public TableSourceException(String message, @Nullable Throwable cause) {
		super(message, cause);
	}

}
