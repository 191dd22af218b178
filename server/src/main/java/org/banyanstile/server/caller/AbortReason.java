package org.banyanstile.server.caller;

/**
 * Why a running request is aborted.
 *
 * @author banyanstile contributors
 */
enum AbortReason {

	/**
	 * The caller closed the connection.
	 */
	CALLER_GONE,

	/**
	 * A newer request with the same idempotency key takes over.
	 */
	SUPERSEDED,

	/**
	 * The caller's API key was withdrawn.
	 */
	KEY_WITHDRAWN,

	/**
	 * This VM is no longer allowed to serve.
	 */
	NOT_SERVING;

	RequestException toException() {
		return switch (this) {
			case CALLER_GONE -> RequestException.unknown(ErrorType.OUTCOME_UNKNOWN, "the caller disconnected");
			case SUPERSEDED -> RequestException.unknown(ErrorType.SUPERSEDED,
					"a newer request with the same idempotency key took over");
			case KEY_WITHDRAWN -> RequestException.unknown(ErrorType.UNAUTHORIZED, "the API key was withdrawn");
			case NOT_SERVING -> RequestException.unknown(ErrorType.NOT_SERVING, "this VM stopped serving");
		};
	}

}
