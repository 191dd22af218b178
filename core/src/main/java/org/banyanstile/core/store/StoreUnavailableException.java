package org.banyanstile.core.store;

import org.jspecify.annotations.Nullable;

/**
 * The table service could not be reached; the call did not and will not take effect.
 *
 * @author banyanstile contributors
 */
public final class StoreUnavailableException extends StoreException {

	private static final long serialVersionUID = 1L;

	/**
	 * Creates the exception.
	 * @param message what failed
	 * @param cause the cause, or {@code null}
	 */
	public StoreUnavailableException(String message, @Nullable Throwable cause) {
		super(message, cause);
	}

}
