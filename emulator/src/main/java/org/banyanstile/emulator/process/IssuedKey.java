package org.banyanstile.emulator.process;

import org.banyanstile.config.TeamKey;
import org.banyanstile.config.key.InvalidKeyException;
import org.banyanstile.config.key.KeyGenerator;
import org.banyanstile.config.key.PresentedKey;

/**
 * A generated key of a team.
 *
 * @param team name of the team
 * @param text the key as a caller presents it
 * @param entry the key as the configuration holds it
 * @author banyanstile contributors
 */
public record IssuedKey(String team, String text, TeamKey entry) {

	/**
	 * Generates a key.
	 * @param team name of the team
	 * @param id identifier of the key
	 * @return the key
	 */
	public static IssuedKey create(String team, String id) {
		KeyGenerator generator = KeyGenerator.create();
		try {
			PresentedKey key = generator.create(id);
			return new IssuedKey(team, key.text(), generator.entry(key));
		}
		catch (InvalidKeyException ex) {
			throw new IllegalArgumentException(ex);
		}
	}

	/**
	 * Returns the option that adds this key to an example configuration.
	 * @return the value of the option
	 */
	public String option() {
		return this.team + "=" + this.entry.id() + ":" + this.entry.salt() + ":" + this.entry.hash();
	}

}
