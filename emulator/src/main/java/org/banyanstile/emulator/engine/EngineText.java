package org.banyanstile.emulator.engine;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Text that the engine generates. Each word is a function of the prompt and of its
 * offset, so that a response can be verified without the engine.
 *
 * @author banyanstile contributors
 */
public final class EngineText {

	private static final Pattern SPACES = Pattern.compile("\\s+");

	private static final Pattern LENGTH = Pattern.compile("(?:^|\\s)answer-words=(\\d{1,6})(?:\\s|$)");

	private static final int DIGEST_CHARACTERS = 10;

	private EngineText() {
	}

	/**
	 * Returns the digest of a prompt, which is part of each word of the response.
	 * @param prompt the prompt
	 * @return hexadecimal text
	 */
	public static String digest(String prompt) {
		try {
			byte[] hash = MessageDigest.getInstance("SHA-256")
				.digest(String.join(" ", words(prompt)).getBytes(StandardCharsets.UTF_8));
			return HexFormat.of().formatHex(hash).substring(0, DIGEST_CHARACTERS);
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException("SHA-256 is part of every Java platform", ex);
		}
	}

	/**
	 * Returns a word of a response.
	 * @param digest digest of the prompt
	 * @param offset offset of the word, from 0
	 * @return the word
	 */
	public static String word(String digest, int offset) {
		return digest + "." + offset;
	}

	/**
	 * Returns the number of words after which the response to a prompt ends by itself.
	 * @param prompt the prompt; a word {@code answer-words=N} sets the number
	 * @return the number of words, or {@link Integer#MAX_VALUE} without that word
	 */
	public static int length(String prompt) {
		Matcher matcher = LENGTH.matcher(prompt);
		return matcher.find() ? Integer.parseInt(matcher.group(1)) : Integer.MAX_VALUE;
	}

	/**
	 * Returns the number of tokens of a prompt.
	 * @param prompt the prompt
	 * @return the number of words
	 */
	public static int tokens(String prompt) {
		return words(prompt).length;
	}

	private static String[] words(String prompt) {
		String trimmed = prompt.strip();
		return trimmed.isEmpty() ? new String[0] : SPACES.split(trimmed);
	}

}
