package org.banyanstile.server.vm;

/**
 * Thrown when a VM replied that it could not handle the request.
 *
 * @author banyanstile contributors
 */
public final class VmRequestFailedException extends VmRequestException {

	private static final long serialVersionUID = 1L;

	/**
	 * Creates the exception.
	 * @param message what failed
	 */
	public VmRequestFailedException(String message) {
		super(message, null);
	}

}
