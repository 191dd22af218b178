package org.banyanstile.core.catalog;

/**
 * Limits and rank of a team.
 *
 * @param name name of the team
 * @param priority rank that replaces the route's, or {@link #NO_PRIORITY}
 * @param tokensPerSecond rate of the limit, 0 for no limit
 * @param burstTokens tokens that may be used beyond the rate
 * @param plainTokens tokens that a request without a token count is charged with
 * @author banyanstile contributors
 */
public record TeamPolicy(String name, int priority, double tokensPerSecond, double burstTokens, long plainTokens) {

	/**
	 * The route's priority holds.
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
