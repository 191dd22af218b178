package org.banyanstile.core.claim;

import org.jspecify.annotations.Nullable;

/**
 * Outcome of a call that must run at most once.
 *
 * @author banyanstile contributors
 */
public sealed interface ClaimOutcome {

	/**
	 * The endpoint ran the call and responded.
	 *
	 * @param status status code
	 * @param contentType media type, or {@code null} if the endpoint sent none
	 * @param body the body as text
	 */
	record Answered(int status, @Nullable String contentType, String body) implements ClaimOutcome {

	}

	/**
	 * The endpoint refused the call.
	 *
	 * @param status status code
	 * @param contentType media type, or {@code null} if the endpoint sent none
	 * @param body the body as text
	 */
	record RefusedByEndpoint(int status, @Nullable String contentType, String body) implements ClaimOutcome {

	}

	/**
	 * This attempt did not run the call and will not.
	 */
	record NotRun() implements ClaimOutcome {

	}

	/**
	 * It is not known whether the call ran.
	 */
	record OutcomeUnknown() implements ClaimOutcome {

	}

}
