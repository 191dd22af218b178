package org.banyanstile.examples;

import java.io.PrintStream;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterException;
import org.banyanstile.config.FleetConfiguration;
import org.banyanstile.config.json.ConfigurationException;
import org.banyanstile.config.json.ConfigurationJson;

/**
 * Applies the options to a configuration, checks the result and prints it.
 *
 * @author banyanstile contributors
 */
final class ExampleProgram {

	private static final int DONE = 0;

	private static final int INVALID = 1;

	private static final int USAGE = 2;

	private ExampleProgram() {
	}

	static int run(String name, FleetConfiguration configuration, String[] args, PrintStream out, PrintStream err) {
		ExampleOptions options = new ExampleOptions();
		JCommander commander = JCommander.newBuilder().programName(name).addObject(options).build();
		try {
			commander.parse(args);
			if (options.isHelp()) {
				out.println(help(commander));
				return DONE;
			}
			String json = ConfigurationJson.writeIndented(options.apply(configuration));
			ConfigurationJson.readConfiguration(name, json);
			out.println(json);
			return DONE;
		}
		catch (ParameterException ex) {
			err.println(ex.getMessage());
			return USAGE;
		}
		catch (ConfigurationException ex) {
			err.println(ex.getMessage());
			return INVALID;
		}
	}

	private static String help(JCommander commander) {
		StringBuilder text = new StringBuilder();
		commander.getUsageFormatter().usage(text);
		return text.toString();
	}

}
