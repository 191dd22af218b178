package org.banyanstile.server.vm;

/**
 * Thrown when a VM did not reply in time or the connection broke. The VM may have handled
 * the request.
 *
 * @author banyanstile contributors
 */
public final class VmReplyTimeoutException extends VmRequestException {

	private static final long serialVersionUID = 1L;

	/**
	 * Creates the exception.
	 * @param message what failed
	 */
	public VmReplyTimeoutException(String message) {
		super(message, null);
	}

}
