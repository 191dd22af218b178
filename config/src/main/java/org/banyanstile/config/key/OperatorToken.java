package org.banyanstile.config.key;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * Bearer token of operators. The settings contain its SHA-256. The token is long and
 * random, so it needs no salt.
 *
 * @author banyanstile contributors
 */
public final class OperatorToken {

	private OperatorToken() {
	}

	/**
	 * Computes the hash for the settings.
	 * @param token the token
	 * @return the hash in hexadecimal
	 */
	public static String hash(String token) {
		return HexFormat.of().formatHex(digest(token));
	}

	/**
	 * Compares a token with the hash of the settings in constant time.
	 * @param token the token that the operator sent
	 * @param hash the hash of the settings
	 * @return whether they match
	 */
	public static boolean matches(String token, String hash) {
		return MessageDigest.isEqual(digest(token), HexFormat.of().parseHex(hash));
	}

	private static byte[] digest(String token) {
		try {
			return MessageDigest.getInstance("SHA-256").digest(token.getBytes(StandardCharsets.UTF_8));
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException("this Java runtime has no SHA-256", ex);
		}
	}

}
