package org.banyanstile.server.caller;

/**
 * Decision on a call that must run at most once.
 *
 * @author banyanstile contributors
 */
public sealed interface ClaimDecision {

	/**
	 * This VM holds the claim. It must dispatch the call at most once, and then complete
	 * the claim.
	 *
	 * @param key identity of the call
	 * @param handle value that the claim service needs to complete the claim
	 * @author banyanstile contributors
	 */
	record Run(ClaimKey key, Object handle) implements ClaimDecision {

	}

	/**
	 * The call cannot be claimed now. This attempt has not run; nothing is known about
	 * earlier attempts.
	 *
	 * @param retryAfterMillis time after which to retry
	 * @author banyanstile contributors
	 */
	record Unavailable(long retryAfterMillis) implements ClaimDecision {

	}

	/**
	 * The outcome of the call is already known.
	 *
	 * @param outcome the outcome
	 * @author banyanstile contributors
	 */
	record Decided(CallOutcome outcome) implements ClaimDecision {

	}

	/**
	 * Another VM or worker runs the call now, and its outcome was not received in time.
	 *
	 * @param retryAfterMillis time after which to retry
	 * @author banyanstile contributors
	 */
	record InProgress(long retryAfterMillis) implements ClaimDecision {

	}

	/**
	 * The same idempotency key was used with another body.
	 *
	 * @author banyanstile contributors
	 */
	record KeyReused() implements ClaimDecision {

	}

}
