package org.banyanstile.server.caller;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * Hashes of idempotency keys and bodies.
 *
 * @author banyanstile contributors
 */
public final class Hashes {

	private Hashes() {
	}

	/**
	 * Returns the SHA-256 hash of the parts, each preceded by its length, so that
	 * different boundaries between parts give different hashes.
	 * @param parts the parts
	 * @return the hash in hexadecimal
	 */
	public static String sha256(byte[]... parts) {
		return HexFormat.of().formatHex(sha256Bytes(parts));
	}

	/**
	 * Returns the SHA-256 hash of the parts, as {@link #sha256(byte[]...)} does.
	 * @param parts the parts
	 * @return the 32 bytes of the hash
	 */
	public static byte[] sha256Bytes(byte[]... parts) {
		try {
			MessageDigest digest = MessageDigest.getInstance("SHA-256");
			for (byte[] part : parts) {
				digest.update(ByteBuffer.allocate(Integer.BYTES).putInt(part.length).array());
				digest.update(part);
			}
			return digest.digest();
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException("this Java runtime has no SHA-256", ex);
		}
	}

	/**
	 * Returns the SHA-256 hash of a text.
	 * @param text the text
	 * @return the hash in hexadecimal
	 */
	public static String sha256(String text) {
		return sha256(text.getBytes(StandardCharsets.UTF_8));
	}

}
