package org.banyanstile.core.limit;

import java.util.List;

import org.banyanstile.core.common.TeamId;

/**
 * Request of a VM to the owner of a team bucket.
 *
 * @param team the team
 * @param needed the tokens without which the waiting request cannot run
 * @param wanted the tokens that the VM expects to use soon, at least {@code needed}
 * @param returned the granted tokens that the VM will no longer use
 * @param returnedSince the earliest {@link GrantReply#issuedNanos()} among the returned
 * tokens
 * @param returnedTo the {@link GrantReply#ownerToken()} of the owner that issued them
 * @param spent the {@link GrantReply#issuedNanos()} of grants of the same owner that are
 * used up, at most {@link #MAX_SPENT}
 * @author banyanstile contributors
 */
public record GrantRequest(TeamId team, long needed, long wanted, long returned, long returnedSince, long returnedTo,
		List<Long> spent) {

	/**
	 * Largest number of spent grants that a request reports. The owner counts a grant
	 * that is not reported as spendable until it expires.
	 */
	public static final int MAX_SPENT = 16;

	/**
	 * Creates a request that returns nothing.
	 * @param team the team
	 * @param needed the tokens without which the waiting request cannot run
	 * @param wanted the tokens that the VM expects to use soon
	 * @return the request
	 */
	public static GrantRequest of(TeamId team, long needed, long wanted) {
		return new GrantRequest(team, needed, wanted, 0, 0, 0, List.of());
	}

}
