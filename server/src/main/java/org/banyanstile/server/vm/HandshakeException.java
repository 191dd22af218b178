package org.banyanstile.server.vm;

import java.io.IOException;

/**
 * Thrown when a connection is closed because the peer could not be authenticated.
 *
 * @author banyanstile contributors
 */
public final class HandshakeException extends IOException {

	private static final long serialVersionUID = 1L;

	/**
	 * Creates the exception.
	 * @param message what failed
	 */
	public HandshakeException(String message) {
		super(message);
	}

}
