package org.banyanstile.core.store;

import org.jspecify.annotations.Nullable;

/**
 * The table service gave no usable response.
 *
 * @author banyanstile contributors
 */
public abstract sealed class StoreException extends Exception
		permits StoreUnavailableException, StoreThrottledException, StoreOutcomeUnknownException {

	private static final long serialVersionUID = 1L;

	/**
	 * Creates the exception.
	 * @param message what failed
	 * @param cause the cause, or {@code null}
	 */
	protected StoreException(String message, @Nullable Throwable cause) {
		super(message, cause);
	}

}
