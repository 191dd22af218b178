package org.banyanstile.tools;

/**
 * The request was sent, but its outcome is not known.
 *
 * @author banyanstile contributors
 */
public final class OutcomeUnknownException extends CommandException {

	private static final long serialVersionUID = 1L;

	/**
	 * Creates the exception.
	 * @param message what failed
	 */
	public OutcomeUnknownException(String message) {
		super(ExitCode.NOT_REACHABLE, message);
	}

}
