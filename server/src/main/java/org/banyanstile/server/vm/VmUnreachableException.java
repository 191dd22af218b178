package org.banyanstile.server.vm;

/**
 * There is no connection to the VM, so the request was not sent.
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
