package org.banyanstile.core.claim;

import org.banyanstile.core.common.TeamId;

/**
 * Identity of a call that must run at most once.
 *
 * @param team the team
 * @param keyHash SHA-256 of the idempotency key, in hexadecimal
 * @author banyanstile contributors
 */
public record ClaimIdentity(TeamId team, String keyHash) {

	/**
	 * Returns the row key of the claim.
	 * @return the key
	 */
	public String rowKey() {
		return "claim/" + this.team + "/" + this.keyHash;
	}

}
