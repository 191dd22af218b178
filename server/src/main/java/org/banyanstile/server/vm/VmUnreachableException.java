package org.banyanstile.server.vm;

/**
 * Thrown when a request was not sent, because there is no connection to the VM or its
 * queue is full.
 *
 * @author banyanstile contributors
 */
public final class VmUnreachableException extends VmRequestException {

	private static final long serialVersionUID = 1L;

	/**
	 * Creates the exception.
	 * @param message what failed
	 */
	public VmUnreachableException(String message) {
		super(message, null);
	}

}
