package org.banyanstile.core.claim;

/**
 * Result of an attempt to claim a call.
 *
 * @author banyanstile contributors
 */
public sealed interface ClaimResult {

	/**
	 * This VM holds the claim, must dispatch the call at most once and then complete it.
	 *
	 * @param claim the claim
	 */
	record Granted(HeldClaim claim) implements ClaimResult {

	}

	/**
	 * No store call was made, or it failed without effect. This attempt has not run and
	 * will not; nothing is known about earlier attempts.
	 */
	record Unclaimed() implements ClaimResult {

	}

	/**
	 * The outcome is known.
	 *
	 * @param outcome the outcome
	 */
	record Settled(ClaimOutcome outcome) implements ClaimResult {

	}

	/**
	 * A VM that may be alive runs the call, and can be queried for the outcome.
	 *
	 * @param holder the VM, which can be this one
	 */
	record Running(ClaimHolder holder) implements ClaimResult {

	}

	/**
	 * The idempotency key was used with another body.
	 */
	record KeyReused() implements ClaimResult {

	}

}
