package org.banyanstile.config.key;

import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.HexFormat;

import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

import org.banyanstile.config.TeamKey;

/**
 * Salted hash of the secret of a key: {@code HMAC-SHA256(salt, secret)}.
 *
 * @author banyanstile contributors
 */
public final class KeyHash {

	private static final String ALGORITHM = "HmacSHA256";

	private KeyHash() {
	}

	/**
	 * Computes the hash of a secret.
	 * @param salt the salt in hexadecimal
	 * @param secret the secret part of a key, hashed as UTF-8 text
	 * @return the hash in hexadecimal
	 */
	public static String of(String salt, String secret) {
		return HexFormat.of().formatHex(compute(salt, secret));
	}

	/**
	 * Compares a secret with the hash of a key in constant time.
	 * @param key the key of the configuration
	 * @param secret the secret part of the presented key
	 * @return whether they match
	 */
	public static boolean matches(TeamKey key, String secret) {
		return MessageDigest.isEqual(compute(key.salt(), secret), HexFormat.of().parseHex(key.hash()));
	}

	private static byte[] compute(String salt, String secret) {
		try {
			Mac mac = Mac.getInstance(ALGORITHM);
			mac.init(new SecretKeySpec(HexFormat.of().parseHex(salt), ALGORITHM));
			return mac.doFinal(secret.getBytes(StandardCharsets.UTF_8));
		}
		catch (GeneralSecurityException ex) {
			throw new IllegalStateException("this Java runtime has no " + ALGORITHM, ex);
		}
	}

}
