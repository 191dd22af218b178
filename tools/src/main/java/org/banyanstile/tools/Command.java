package org.banyanstile.tools;

/**
 * A command of the binary. Its options are fields that JCommander fills.
 *
 * @author banyanstile contributors
 */
abstract class Command extends CommonOptions {

	/**
	 * Executes the command.
	 * @param console where it prints
	 * @return the exit code
	 * @throws CommandException if it failed
	 */
	abstract ExitCode run(Console console) throws CommandException;

}
