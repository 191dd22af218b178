package org.banyanstile.server.caller;

import java.util.Locale;

/**
 * Error types that are reported to callers.
 *
 * @author banyanstile contributors
 */
public enum ErrorType {

	/**
	 * No active API key was presented, or the key was withdrawn.
	 */
	UNAUTHORIZED(401),

	/**
	 * The request is malformed.
	 */
	INVALID_REQUEST(400),

	/**
	 * There is no such model, service or route.
	 */
	NOT_FOUND(404),

	/**
	 * The body is larger than the limit.
	 */
	BODY_TOO_LARGE(413),

	/**
	 * The idempotency key was used with another body.
	 */
	KEY_REUSED(422),

	/**
	 * The request is known to crash endpoints.
	 */
	CRASHES_ENDPOINTS(422),

	/**
	 * The team exceeds its token rate or burst.
	 */
	RATE_LIMITED(429),

	/**
	 * No endpoint had capacity in time.
	 */
	OVERLOADED(503),

	/**
	 * This VM is not allowed to serve now.
	 */
	NOT_SERVING(503),

	/**
	 * A call that must run at most once cannot be claimed because the store is not
	 * available.
	 */
	STORE_UNAVAILABLE(503),

	/**
	 * The endpoint refused the call. The response to the caller has the status of the
	 * endpoint.
	 */
	ENDPOINT_REFUSED(502),

	/**
	 * It is not known whether the call ran.
	 */
	OUTCOME_UNKNOWN(504),

	/**
	 * A newer request with the same idempotency key took over.
	 */
	SUPERSEDED(409),

	/**
	 * The caller has received part of a response that cannot be continued.
	 */
	STREAM_LOST(409);

	private final int status;

	ErrorType(int status) {
		this.status = status;
	}

	/**
	 * Returns the status code.
	 * @return the status code
	 */
	public int status() {
		return this.status;
	}

	/**
	 * Returns the name in the error body.
	 * @return the name
	 */
	public String wireName() {
		return name().toLowerCase(Locale.ROOT);
	}

}
