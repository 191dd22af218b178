package org.banyanstile.config.key;

/**
 * A text is not a key or not an identifier of a key.
 *
 * @author banyanstile contributors
 */
public final class InvalidKeyException extends Exception {

	private static final long serialVersionUID = 1L;

	/**
	 * Creates the exception.
	 * @param message what is wrong, without the key itself
	 */
	public InvalidKeyException(String message) {
		super(message);
	}

}
