package org.banyanstile.server.caller;

/**
 * Decision on a once-only call.
 *
 * @author banyanstile contributors
 */
public sealed interface ClaimDecision {

	/**
	 * This VM holds the claim and must dispatch the call at most once, then complete it.
	 *
	 * @param key identity of the call
	 * @param handle value that the service needs to complete the claim
	 * @author banyanstile contributors
	 */
	record Run(ClaimKey key, Object handle) implements ClaimDecision {

	}

	/**
	 * The call cannot be claimed now. This attempt has not run; nothing is known of
	 * earlier ones.
	 *
	 * @param retryAfterMillis time after which to try again
	 * @author banyanstile contributors
	 */
	record Unavailable(long retryAfterMillis) implements ClaimDecision {

	}

	/**
	 * The call is decided already.
	 *
	 * @param outcome the outcome
	 * @author banyanstile contributors
	 */
	record Decided(CallOutcome outcome) implements ClaimDecision {

	}

	/**
	 * Another VM or worker runs the call now and no outcome came in time.
	 *
	 * @param retryAfterMillis time after which to ask again
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
