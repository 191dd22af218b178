package org.banyanstile.io.frame;

import java.io.IOException;

import org.jspecify.annotations.Nullable;

/**
 * A peer sent a frame that is too large or is not a known message.
 *
 * @author banyanstile contributors
 */
public final class MalformedFrameException extends IOException {

	private static final long serialVersionUID = 1L;

	/**
	 * Creates the exception.
	 * @param message what is wrong
	 * @param cause the cause, or {@code null}
	 */
	public MalformedFrameException(String message, @Nullable Throwable cause) {
		super(message, cause);
	}

}
