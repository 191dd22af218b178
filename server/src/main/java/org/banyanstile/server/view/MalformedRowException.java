package org.banyanstile.server.view;

import java.io.Serial;

import org.jspecify.annotations.Nullable;

/**
 * A row cannot be decoded.
 *
 * @author banyanstile contributors
 */
public final class MalformedRowException extends Exception {

	@Serial
	private static final long serialVersionUID = 1L;

	/**
	 * Creates an exception.
	 * @param message what is wrong
	 * @param cause the cause
	 */
	public MalformedRowException(String message, @Nullable Throwable cause) {
		super(message, cause);
	}

}
