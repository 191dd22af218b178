package org.banyanstile.tools;

import java.io.IOException;
import java.nio.charset.StandardCharsets;

import com.beust.jcommander.Parameters;
import org.banyanstile.config.TeamKey;
import org.banyanstile.config.api.ApiJson;
import org.banyanstile.config.key.KeyGenerator;
import org.banyanstile.config.key.PresentedKey;

/**
 * {@code key hash}: creates the configuration entry for an existing key. The key is read
 * from standard input, because arguments are visible to each user of the machine.
 *
 * @author banyanstile contributors
 */
@Parameters(commandDescription = "read a key from standard input and print the entry for the configuration")
final class KeyHashCommand extends Command {

	@Override
	ExitCode run(Console console) throws CommandException {
		TeamKey entry = KeyGenerator.create().entry(read(console));
		console.print(entry, text(entry));
		return ExitCode.DONE;
	}

	private static PresentedKey read(Console console) throws UsageException {
		try {
			String text = new String(console.in().readAllBytes(), StandardCharsets.UTF_8).strip();
			return PresentedKey.parse(text)
				.orElseThrow(() -> new UsageException("standard input is not a key of the form bk_<keyId>_<secret>"));
		}
		catch (IOException ex) {
			throw new UsageException("cannot read standard input: " + ex);
		}
	}

	static String text(TeamKey entry) {
		return "entry for \"keys\" of the team: " + ApiJson.write(entry)
				+ "\noption of the example programs: --key <team>=" + entry.id() + ":" + entry.salt() + ":"
				+ entry.hash();
	}

}
