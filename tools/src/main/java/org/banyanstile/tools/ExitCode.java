package org.banyanstile.tools;

/**
 * Exit codes of the binary.
 *
 * @author banyanstile contributors
 */
public enum ExitCode {

	/**
	 * The command succeeded.
	 */
	DONE(0),

	/**
	 * The input is invalid, or the daemon rejected the request or reported a conflict.
	 */
	REFUSED(1),

	/**
	 * The command line is wrong.
	 */
	USAGE(2),

	/**
	 * No VM responded.
	 */
	NOT_REACHABLE(3),

	/**
	 * The configuration is stored, but not yet known to be applied on each VM.
	 */
	NOT_YET_ACCEPTED(4);

	private final int code;

	ExitCode(int code) {
		this.code = code;
	}

	/**
	 * Returns the numeric code.
	 * @return the exit code of the process
	 */
	public int code() {
		return this.code;
	}

}
