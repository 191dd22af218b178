package org.banyanstile.config;

/**
 * Entry of a key in the configuration: a salted hash, never the key itself.
 *
 * @param id identifier, unique in the fleet, a part of the key itself
 * @param salt salt in hexadecimal
 * @param hash {@code HMAC-SHA256(salt, secret)} in hexadecimal
 * @param state whether the key is accepted
 * @author banyanstile contributors
 */
public record TeamKey(String id, String salt, String hash, KeyState state) {

	/**
	 * Returns an active key.
	 * @param id identifier
	 * @param salt salt in hexadecimal
	 * @param hash hash in hexadecimal
	 * @return the key
	 */
	public static TeamKey active(String id, String salt, String hash) {
		return new TeamKey(id, salt, hash, KeyState.ACTIVE);
	}

	/**
	 * Returns a copy that is no longer accepted.
	 * @return the copy
	 */
	public TeamKey withdrawn() {
		return new TeamKey(this.id, this.salt, this.hash, KeyState.WITHDRAWN);
	}

	/**
	 * Leaves out the salt and the hash, so that neither reaches a log.
	 */
	@Override
	public String toString() {
		return "TeamKey[id=" + this.id + ", state=" + this.state + "]";
	}

}
