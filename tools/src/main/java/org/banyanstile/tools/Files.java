package org.banyanstile.tools;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;

import org.banyanstile.config.FleetConfiguration;
import org.banyanstile.config.json.ConfigurationException;
import org.banyanstile.config.json.ConfigurationJson;
import org.banyanstile.config.json.Problem;

/**
 * Reads and writes the files named on the command line; {@code -} is standard input.
 *
 * @author banyanstile contributors
 */
final class Files {

	private Files() {
	}

	static String read(Console console, String file) throws UsageException {
		try {
			byte[] bytes = "-".equals(file) ? console.in().readAllBytes()
					: java.nio.file.Files.readAllBytes(Path.of(file));
			return new String(bytes, StandardCharsets.UTF_8);
		}
		catch (IOException ex) {
			throw new UsageException("cannot read " + file + ": " + ex);
		}
	}

	static void write(String file, String text) throws UsageException {
		try {
			java.nio.file.Files.writeString(Path.of(file), text);
		}
		catch (IOException ex) {
			throw new UsageException("cannot write " + file + ": " + ex);
		}
	}

	static FleetConfiguration readConfiguration(Console console, String file) throws CommandException {
		try {
			return ConfigurationJson.readConfiguration(file, read(console, file));
		}
		catch (ConfigurationException ex) {
			throw new RefusedException(lines(ex.problems()));
		}
	}

	static String lines(List<?> values) {
		return String.join("\n", values.stream().map(Object::toString).toList());
	}

	static String lines(String title, List<Problem> problems) {
		return lines(problems.stream().map((problem) -> title + problem).toList());
	}

}
