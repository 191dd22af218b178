package org.banyanstile.server;

import org.banyanstile.core.admission.RetryBudget;
import org.banyanstile.server.caller.RetryPermits;

/**
 * Limits the retries inside this VM to a tenth of its requests.
 *
 * @author banyanstile contributors
 */
final class RetryAllowance implements RetryPermits {

	private static final double SHARE = 0.1;

	private final RetryBudget budget = RetryBudget.of(SHARE);

	@Override
	public void requestStarted() {
		this.budget.requested();
	}

	@Override
	public boolean tryRetry() {
		return this.budget.tryRetry();
	}

}
