package org.banyanstile.server.caller;

/**
 * Outcome of a call that must run at most once.
 *
 * @author banyanstile contributors
 */
public sealed interface CallOutcome {

	/**
	 * The endpoint ran the call and sent a response.
	 *
	 * @param answer the response
	 * @author banyanstile contributors
	 */
	record Answered(StoredAnswer answer) implements CallOutcome {

	}

	/**
	 * The call did not run and will not run.
	 *
	 * @param reason the reason
	 * @author banyanstile contributors
	 */
	record NotRun(NotRunReason reason) implements CallOutcome {

	}

	/**
	 * The endpoint refused the call.
	 *
	 * @param answer the response
	 * @author banyanstile contributors
	 */
	record RefusedByEndpoint(StoredAnswer answer) implements CallOutcome {

	}

	/**
	 * It is not known whether the call ran.
	 *
	 * @author banyanstile contributors
	 */
	record OutcomeUnknown() implements CallOutcome {

	}

}
