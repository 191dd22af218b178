package org.banyanstile.core.store;

import org.jspecify.annotations.Nullable;

/**
 * The call timed out or its connection broke; it may have taken effect or may still do
 * so.
 *
 * @author banyanstile contributors
 */
public final class StoreOutcomeUnknownException extends StoreException {

	private static final long serialVersionUID = 1L;

	/**
	 * Creates the exception.
	 * @param message what failed
	 * @param cause the cause, or {@code null}
	 */
	public StoreOutcomeUnknownException(String message, @Nullable Throwable cause) {
		super(message, cause);
	}

}
