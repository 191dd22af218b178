package org.banyanstile.tools;

/**
 * The command line, or a file that it names, cannot be used.
 *
 * @author banyanstile contributors
 */
public final class UsageException extends CommandException {

	private static final long serialVersionUID = 1L;

	/**
	 * Creates the exception.
	 * @param message what failed
	 */
	public UsageException(String message) {
		super(ExitCode.USAGE, message);
	}

}
