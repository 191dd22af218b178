package org.banyanstile.tools;

import java.util.ArrayList;
import java.util.List;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import org.banyanstile.config.FleetConfiguration;
import org.banyanstile.config.json.ConfigurationException;
import org.banyanstile.config.json.ConfigurationJson;
import org.banyanstile.config.json.ConfigurationWarnings;
import org.banyanstile.config.json.Problem;

/**
 * {@code config check}: validates files without a daemon.
 *
 * @author banyanstile contributors
 */
@Parameters(commandDescription = "validate configuration or settings files; exit code 1 if one is invalid")
final class ConfigCheckCommand extends Command {

	@Parameter(description = "<file>..., - is standard input", required = true)
	private List<String> files = new ArrayList<>();

	@Parameter(names = "--settings", description = "the files are settings of VMs")
	private boolean settings;

	@Override
	ExitCode run(Console console) throws CommandException {
		List<Problem> errors = new ArrayList<>();
		List<Problem> warnings = new ArrayList<>();
		for (String file : this.files) {
			check(file, Files.read(console, file), errors, warnings);
		}
		if (!console.json()) {
			print(console, errors, warnings);
		}
		else {
			console.print(new Result(errors.isEmpty(), errors, warnings), "");
		}
		return errors.isEmpty() ? ExitCode.DONE : ExitCode.REFUSED;
	}

	private void check(String file, String json, List<Problem> errors, List<Problem> warnings) {
		try {
			if (this.settings) {
				ConfigurationJson.readSettings(file, json);
				return;
			}
			FleetConfiguration configuration = ConfigurationJson.readConfiguration(file, json);
			warnings.addAll(ConfigurationWarnings.of(file, configuration));
		}
		catch (ConfigurationException ex) {
			errors.addAll(ex.problems());
		}
	}

	private static void print(Console console, List<Problem> errors, List<Problem> warnings) {
		if (!warnings.isEmpty()) {
			console.err().println(Files.lines("warning: ", warnings));
		}
		if (!errors.isEmpty()) {
			console.err().println(Files.lines("error: ", errors));
		}
		else {
			console.out().println("valid");
		}
	}

	/**
	 * Result as JSON.
	 *
	 * @param valid whether all files are valid
	 * @param errors what is invalid
	 * @param warnings what is probably not intended
	 * @author banyanstile contributors
	 */
	record Result(boolean valid, List<Problem> errors, List<Problem> warnings) {

	}

}
