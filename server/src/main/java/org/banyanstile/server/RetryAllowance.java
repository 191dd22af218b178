package org.banyanstile.server;

import org.banyanstile.server.caller.RetryPermits;

/**
 * Retries as a tenth of the requests, with a small reserve for a quiet VM.
 *
 * @author banyanstile contributors
 */
final class RetryAllowance implements RetryPermits {

	private static final double SHARE = 0.1;

	private static final double MAX = 10;

	private double permits = MAX;

	@Override
	public synchronized void requestStarted() {
		this.permits = Math.min(MAX, this.permits + SHARE);
	}

	@Override
	public synchronized boolean tryRetry() {
		if (this.permits < 1) {
			return false;
		}
		this.permits--;
		return true;
	}

}
