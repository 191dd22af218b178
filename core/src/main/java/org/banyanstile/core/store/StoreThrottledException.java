package org.banyanstile.core.store;

import org.jspecify.annotations.Nullable;

/**
 * The table service rejected the call because of its rate limit; the call did not take
 * effect.
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
