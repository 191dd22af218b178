package org.banyanstile.server.caller;

/**
 * Why a running request is ended from outside.
 *
 * @author banyanstile contributors
 */
enum AbortReason {

	/**
	 * The caller closed the connection.
	 */
	CALLER_GONE,

	/**
	 * A repeat with the same idempotency key takes over.
	 */
	SUPERSEDED,

	/**
	 * The caller's key was withdrawn.
	 */
	KEY_WITHDRAWN,

	/**
	 * This VM may no longer serve.
	 */
	NOT_SERVING;

	RequestException error() {
		return switch (this) {
			case CALLER_GONE -> RequestException.unknown(ErrorType.OUTCOME_UNKNOWN, "the caller disconnected");
			case SUPERSEDED ->
				RequestException.unknown(ErrorType.SUPERSEDED, "a repeat with the same idempotency key took over");
			case KEY_WITHDRAWN -> RequestException.unknown(ErrorType.UNAUTHORIZED, "the key was withdrawn");
			case NOT_SERVING -> RequestException.unknown(ErrorType.NOT_SERVING, "this VM stopped serving");
		};
	}

}
