package org.banyanstile.config.key;

import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A key as a caller presents it: {@code bk_<keyId>_<secret>}.
 *
 * @param id identifier of the key
 * @param secret the secret part
 * @author banyanstile contributors
 */
public record PresentedKey(String id, String secret) {

	/**
	 * The identifier contains no underscore, so the text is unambiguous. The length
	 * limits bound the cost of hashing a forged key.
	 */
	private static final Pattern FORMAT = Pattern.compile("bk_([A-Za-z0-9][A-Za-z0-9.-]{0,63})_([A-Za-z0-9]{16,128})");

	/**
	 * Reads a key.
	 * @param text the text that the caller sent
	 * @return the key, or empty if the text is not a key
	 */
	public static Optional<PresentedKey> parse(String text) {
		Matcher matcher = FORMAT.matcher(text);
		return matcher.matches() ? Optional.of(new PresentedKey(matcher.group(1), matcher.group(2))) : Optional.empty();
	}

	/**
	 * Returns the text that a caller sends. It must not reach a log.
	 * @return the key as text
	 */
	public String text() {
		return "bk_" + this.id + "_" + this.secret;
	}

	/**
	 * Leaves out the secret, so that it does not reach a log.
	 */
	@Override
	public String toString() {
		return "PresentedKey[id=" + this.id + "]";
	}

}
