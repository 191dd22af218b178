package org.banyanstile.server.router;

import java.io.Serial;

/**
 * An engine sent a stream that does not continue what the caller has received.
 *
 * @author banyanstile contributors
 */
final class StreamMismatchException extends Exception {

	@Serial
	private static final long serialVersionUID = 1L;

	StreamMismatchException(String message) {
		super(message);
	}

}
