package org.banyanstile.server.caller;

import org.banyanstile.core.common.TeamId;

/**
 * Decision on a reservation of tokens.
 *
 * @author banyanstile contributors
 */
public sealed interface LimitDecision {

	/**
	 * The tokens are reserved.
	 *
	 * @param team the team
	 * @param tokens number of tokens
	 * @param handle value that the limiter needs to settle the reservation
	 * @author banyanstile contributors
	 */
	record Reserved(TeamId team, long tokens, Object handle) implements LimitDecision {

	}

	/**
	 * The team does not have enough tokens now.
	 *
	 * @param retryAfterMillis time after which the same request can succeed
	 * @author banyanstile contributors
	 */
	record Limited(long retryAfterMillis) implements LimitDecision {

	}

	/**
	 * The request needs more tokens than the burst, so it can never succeed.
	 *
	 * @param burstTokens the burst
	 * @author banyanstile contributors
	 */
	record TooLarge(long burstTokens) implements LimitDecision {

	}

}
