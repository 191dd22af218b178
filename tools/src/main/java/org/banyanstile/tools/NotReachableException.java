package org.banyanstile.tools;

/**
 * No VM responded, and nothing was changed.
 *
 * @author banyanstile contributors
 */
public final class NotReachableException extends CommandException {

	private static final long serialVersionUID = 1L;

	/**
	 * Creates the exception.
	 * @param message what failed
	 */
	public NotReachableException(String message) {
		super(ExitCode.NOT_REACHABLE, message);
	}

}
