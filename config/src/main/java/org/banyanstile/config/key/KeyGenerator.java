package org.banyanstile.config.key;

import java.security.SecureRandom;
import java.util.HexFormat;

import org.banyanstile.config.TeamKey;

/**
 * Creates keys. The secret is shown once, to the team; the configuration contains its
 * hash.
 *
 * @author banyanstile contributors
 */
public final class KeyGenerator {

	private static final int SECRET_BYTES = 32;

	private static final int SALT_BYTES = 16;

	private final SecureRandom random;

	private KeyGenerator(SecureRandom random) {
		this.random = random;
	}

	/**
	 * Returns a generator that uses the system's secure random number generator.
	 * @return the generator
	 */
	public static KeyGenerator create() {
		return new KeyGenerator(new SecureRandom());
	}

	/**
	 * Creates a key.
	 * @param id identifier of the key
	 * @return the key
	 * @throws InvalidKeyException if the identifier is not valid
	 */
	public PresentedKey create(String id) throws InvalidKeyException {
		return PresentedKey.parse(new PresentedKey(id, hex(SECRET_BYTES)).text())
			.orElseThrow(() -> new InvalidKeyException("invalid key id '" + id
					+ "', must be 1 to 64 letters, digits, dots and hyphens, first a letter or digit"));
	}

	/**
	 * Creates the configuration entry of a key, with a new salt.
	 * @param key the key
	 * @return the entry, with the key active
	 */
	public TeamKey entry(PresentedKey key) {
		String salt = hex(SALT_BYTES);
		return TeamKey.active(key.id(), salt, KeyHash.of(salt, key.secret()));
	}

	private String hex(int bytes) {
		byte[] value = new byte[bytes];
		this.random.nextBytes(value);
		return HexFormat.of().formatHex(value);
	}

}
