package org.banyanstile.tools;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import org.banyanstile.config.TeamKey;
import org.banyanstile.config.key.InvalidKeyException;
import org.banyanstile.config.key.KeyGenerator;
import org.banyanstile.config.key.PresentedKey;

/**
 * {@code key create}: creates a key. The key cannot be printed again later.
 *
 * @author banyanstile contributors
 */
@Parameters(commandDescription = "create a key for a team and the entry for the configuration")
final class KeyCreateCommand extends Command {

	@Parameter(names = "--id", required = true, description = "identifier of the key, unique in the fleet")
	private String id = "";

	@Override
	ExitCode run(Console console) throws CommandException {
		KeyGenerator generator = KeyGenerator.create();
		try {
			PresentedKey key = generator.create(this.id);
			TeamKey entry = generator.entry(key);
			console.print(new Result(key.text(), entry),
					"key for the team, shown only once: " + key.text() + "\n" + KeyHashCommand.text(entry));
			return ExitCode.DONE;
		}
		catch (InvalidKeyException ex) {
			throw new UsageException("--id: " + ex.getMessage());
		}
	}

	/**
	 * Result as JSON.
	 *
	 * @param key the key
	 * @param entry its entry in the configuration
	 * @author banyanstile contributors
	 */
	record Result(String key, TeamKey entry) {

	}

}
