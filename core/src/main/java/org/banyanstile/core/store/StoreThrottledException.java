package org.banyanstile.core.store;

import org.jspecify.annotations.Nullable;

/**
 * The table service refused the call for its rate limit; it did not take effect.
 *
 * @author banyanstile contributors
 */
public final class StoreThrottledException extends StoreException {

	private static final long serialVersionUID = 1L;

	/**
	 * Creates the exception.
	 * @param message what failed
	 * @param cause the cause, or {@code null}
	 */
	public StoreThrottledException(String message, @Nullable Throwable cause) {
		super(message, cause);
	}

}
