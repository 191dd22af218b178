package org.banyanstile.server.caller;

import org.banyanstile.core.common.TeamId;

/**
 * Enforces the token rate and burst of teams.
 *
 * @author banyanstile contributors
 */
public interface TeamLimiter {

	/**
	 * Reserves tokens of a team.
	 * @param team the team
	 * @param tokens number of tokens
	 * @return the decision
	 */
	LimitDecision reserve(TeamId team, long tokens);

	/**
	 * Ends a reservation and returns its unused part.
	 * @param reservation the reservation
	 * @param usedTokens number of tokens that were used
	 */
	void settle(LimitDecision.Reserved reservation, long usedTokens);

}
