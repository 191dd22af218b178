package org.banyanstile.server.vm;

import org.jspecify.annotations.Nullable;

/**
 * Thrown when a request to another VM failed.
 *
 * @author banyanstile contributors
 */
public abstract sealed class VmRequestException extends Exception
		permits VmUnreachableException, VmReplyTimeoutException, VmRequestFailedException {

	private static final long serialVersionUID = 1L;

	/**
	 * Creates the exception.
	 * @param message what failed
	 * @param cause the cause, or {@code null}
	 */
	protected VmRequestException(String message, @Nullable Throwable cause) {
		super(message, cause);
	}

}
