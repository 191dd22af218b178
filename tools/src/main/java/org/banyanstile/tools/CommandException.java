package org.banyanstile.tools;

/**
 * A command failed. The message is for the operator.
 *
 * @author banyanstile contributors
 */
public abstract sealed class CommandException extends Exception
		permits UsageException, RefusedException, NotReachableException, OutcomeUnknownException {

	private static final long serialVersionUID = 1L;

	private final ExitCode exitCode;

	/**
	 * Creates the exception.
	 * @param exitCode exit code of the process
	 * @param message what failed
	 */
	protected CommandException(ExitCode exitCode, String message) {
		super(message);
		this.exitCode = exitCode;
	}

	/**
	 * Returns the exit code of the process.
	 * @return the exit code
	 */
	public ExitCode exitCode() {
		return this.exitCode;
	}

}
