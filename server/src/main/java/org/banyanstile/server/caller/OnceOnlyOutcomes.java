package org.banyanstile.server.caller;

/**
 * Maps the outcomes of calls that must run at most once to responses and errors.
 *
 * @author banyanstile contributors
 */
final class OnceOnlyOutcomes {

	private static final long RETRY_AFTER_MILLIS = 250;

	private static final int MAX_MESSAGE_LENGTH = 1000;

	private OnceOnlyOutcomes() {
	}

	static StoredAnswer response(CallOutcome outcome) throws RequestException {
		if (outcome instanceof CallOutcome.Answered answered) {
			return answered.answer();
		}
		if (outcome instanceof CallOutcome.RefusedByEndpoint refused) {
			throw refused(refused.answer());
		}
		if (outcome instanceof CallOutcome.NotRun notRun) {
			throw notRun(notRun.reason());
		}
		throw RequestException.unknown(ErrorType.OUTCOME_UNKNOWN, "it is not known whether the call ran");
	}

	static RequestException refused(StoredAnswer response) {
		String body = response.body();
		return RequestException.refusedByEndpoint(response.status(),
				"the endpoint refused the call: " + body.substring(0, Math.min(MAX_MESSAGE_LENGTH, body.length())));
	}

	private static RequestException notRun(NotRunReason reason) {
		return switch (reason) {
			case NOT_SERVING ->
				RequestException.notRun(ErrorType.NOT_SERVING, "this VM is not allowed to serve now", 0);
			case NO_ENDPOINT ->
				RequestException.notRun(ErrorType.OVERLOADED, "no endpoint accepted a connection", RETRY_AFTER_MILLIS);
			case OVERLOADED -> RequestException.notRun(ErrorType.OVERLOADED, "no endpoint slot became free in time",
					RETRY_AFTER_MILLIS);
		};
	}

}
