package org.banyanstile.io.http;

/**
 * The connection was closed because its framing does not prove where the response ends.
 * The request may have run.
 *
 * @author banyanstile contributors
 */
public final class MalformedResponseException extends ConnectionBrokenException {

	private static final long serialVersionUID = 1L;

	private final FramingFault fault;

	MalformedResponseException(String address, FramingFault fault, Throwable cause) {
		super("response from " + address + " has malformed framing: " + fault.label(), cause);
		this.fault = fault;
	}

	/**
	 * Returns what is malformed.
	 * @return the fault
	 */
	public FramingFault fault() {
		return this.fault;
	}

}
