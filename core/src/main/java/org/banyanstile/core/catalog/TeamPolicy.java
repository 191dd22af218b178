package org.banyanstile.core.catalog;

/**
 * Limits and rank of a team.
 *
 * @param name name of the team
 * @param priority rank that replaces the priority of the route, or {@link #NO_PRIORITY}
 * @param tokensPerSecond rate of the limit, 0 for no limit
 * @param burstTokens tokens that may be used beyond the rate
 * @param plainTokens tokens charged for a request without a token count
 * @author banyanstile contributors
 */
public record TeamPolicy(String name, int priority, double tokensPerSecond, double burstTokens, long plainTokens) {

	/**
	 * The priority of the route applies.
	 */
	public static final int NO_PRIORITY = -1;

	/**
	 * Returns whether the team has a limit.
	 * @return whether it has
	 */
	public boolean isLimited() {
		return this.tokensPerSecond > 0;
	}

}
