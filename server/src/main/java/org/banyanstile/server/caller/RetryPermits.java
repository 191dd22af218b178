package org.banyanstile.server.caller;

/**
 * Budget for retries inside this VM, as a share of its requests.
 *
 * @author banyanstile contributors
 */
public interface RetryPermits {

	/**
	 * Counts a request towards the retry budget.
	 */
	void requestStarted();

	/**
	 * Takes a permit for one retry.
	 * @return whether the retry is within the budget
	 */
	boolean tryRetry();

}
