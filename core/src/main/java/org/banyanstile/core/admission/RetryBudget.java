package org.banyanstile.core.admission;

/**
 * Budget of retries as a fraction of requests. Safe for use by several threads.
 *
 * @author banyanstile contributors
 */
public final class RetryBudget {

	/**
	 * Number of retries that may accumulate, so that all requests of one full endpoint
	 * can be retried at once after it crashed.
	 */
	private static final double MAX_BALANCE = 20;

	private final Object lock = new Object();

	private final double fraction;

	private double balance;

	private RetryBudget(double fraction) {
		this.fraction = fraction;
		this.balance = 1;
	}

	/**
	 * Creates a budget.
	 * @param fraction the retries per request, for example 0.1
	 * @return the budget
	 */
	public static RetryBudget of(double fraction) {
		return new RetryBudget(fraction);
	}

	/**
	 * Records a first attempt.
	 */
	public void requested() {
		synchronized (this.lock) {
			this.balance = Math.min(MAX_BALANCE, this.balance + this.fraction);
		}
	}

	/**
	 * Takes one retry.
	 * @return false if the budget is exhausted, so that the request fails
	 */
	public boolean tryRetry() {
		synchronized (this.lock) {
			if (this.balance < 1) {
				return false;
			}
			this.balance--;
			return true;
		}
	}

}
