package org.banyanstile.tools;

import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import org.banyanstile.config.api.CurrentConfiguration;
import org.banyanstile.config.json.ConfigurationJson;

/**
 * {@code config show}: prints the configuration in force.
 *
 * @author banyanstile contributors
 */
@Parameters(commandDescription = "print the configuration in force; its version goes to standard error")
final class ConfigShowCommand extends Command {

	@ParametersDelegate
	private VmOptions vm = new VmOptions();

	@Override
	ExitCode run(Console console) throws CommandException {
		try (HttpOperatorApi api = this.vm.connect(console)) {
			CurrentConfiguration current = api.get("/operator/v1/config").message(CurrentConfiguration.class);
			if (current.configuration() == null) {
				throw new RefusedException("no configuration was stored yet; the first one replaces version 0");
			}
			console.err().println("version " + current.version());
			console.print(current, ConfigurationJson.writeIndented(current.configuration()));
			return ExitCode.DONE;
		}
	}

}
