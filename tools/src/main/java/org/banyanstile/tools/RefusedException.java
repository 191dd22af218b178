package org.banyanstile.tools;

/**
 * The input is invalid, or the daemon rejected the request.
 *
 * @author banyanstile contributors
 */
public final class RefusedException extends CommandException {

	private static final long serialVersionUID = 1L;

	/**
	 * Creates the exception.
	 * @param message what failed
	 */
	public RefusedException(String message) {
		super(ExitCode.REFUSED, message);
	}

}
