package org.banyanstile.io.http;

import java.io.IOException;

import org.jspecify.annotations.Nullable;

/**
 * Ends the connection below the parser of a response with malformed framing.
 *
 * @author banyanstile contributors
 */
final class FramingException extends IOException {

	private static final long serialVersionUID = 1L;

	private final FramingFault fault;

	FramingException(FramingFault fault) {
		super("malformed framing: " + fault.label());
		this.fault = fault;
	}

	/**
	 * Returns the failure of an exchange on a connection.
	 * @param address address of the peer
	 * @param cause why the connection broke, or {@code null}
	 * @return the failure
	 */
	static ConnectionBrokenException toHttpException(String address, @Nullable Throwable cause) {
		Throwable current = cause;
		while (current != null) {
			if (current instanceof FramingException framing) {
				return new MalformedResponseException(address, framing.fault, framing);
			}
			current = current.getCause();
		}
		return new ConnectionBrokenException("connection to " + address + " broke", cause);
	}

}
