package org.banyanstile.config.key;

import org.banyanstile.config.Team;

/**
 * A key that was accepted.
 *
 * @param team the team it belongs to, as of the version that accepted it
 * @param keyId identifier of the key
 * @param keyHash hash of the key, which distinguishes it from a new key with the same id
 * @author banyanstile contributors
 */
public record AuthenticatedKey(Team team, String keyId, String keyHash) {

	/**
	 * Leaves out the hash, so that it does not reach a log.
	 */
	@Override
	public String toString() {
		return "AuthenticatedKey[team=" + this.team.name() + ", keyId=" + this.keyId + "]";
	}

}
