package org.banyanstile.tools;

import java.util.ArrayList;
import java.util.List;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import org.banyanstile.config.diff.Change;
import org.banyanstile.config.diff.ConfigurationDifference;

/**
 * {@code config diff}: shows the changes between two files.
 *
 * @author banyanstile contributors
 */
@Parameters(commandDescription = "show the changes between two configuration files")
final class ConfigDiffCommand extends Command {

	@Parameter(description = "<before> <after>, - is standard input", required = true, arity = 2)
	private List<String> files = new ArrayList<>();

	@Override
	ExitCode run(Console console) throws CommandException {
		if (this.files.size() != 2) {
			throw new UsageException("config diff needs two files");
		}
		List<Change> changes = ConfigurationDifference.between(Files.readConfiguration(console, this.files.get(0)),
				Files.readConfiguration(console, this.files.get(1)));
		console.print(changes, changes.isEmpty() ? "no changes" : Files.lines(changes));
		return ExitCode.DONE;
	}

}
