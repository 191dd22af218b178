package org.banyanstile.tools;

/**
 * A command of the binary. JCommander sets the fields of its options.
 *
 * @author banyanstile contributors
 */
abstract class Command extends CommonOptions {

	/**
	 * Executes the command.
	 * @param console input and output
	 * @return the exit code
	 * @throws CommandException if it failed
	 */
	abstract ExitCode run(Console console) throws CommandException;

}
