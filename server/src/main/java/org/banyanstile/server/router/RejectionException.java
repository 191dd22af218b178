package org.banyanstile.server.router;

import java.io.Serial;

/**
 * Thrown to end a request with an error response of the router.
 *
 * @author banyanstile contributors
 */
public final class RejectionException extends Exception {

	@Serial
	private static final long serialVersionUID = 1L;

	private static final int BAD_REQUEST = 400;

	private static final int UNAUTHORIZED = 401;

	private static final int NOT_FOUND = 404;

	private static final int BODY_TOO_LARGE = 413;

	private static final int TOO_MANY_REQUESTS = 429;

	private static final int BAD_GATEWAY = 502;

	private static final int UNAVAILABLE = 503;

	private static final int GATEWAY_TIMEOUT = 504;

	/**
	 * {@code Retry-After} of a VM that shuts down. Other VMs serve at once.
	 */
	private static final double SHUTDOWN_RETRY_AFTER_SECONDS = 0.1;

	static final String SHUTTING_DOWN = "this VM is shutting down";

	private final int status;

	private final double retryAfterSeconds;

	private RejectionException(int status, String reason, double retryAfterSeconds) {
		super(reason, null, false, false);
		this.status = status;
		this.retryAfterSeconds = retryAfterSeconds;
	}

	static RejectionException malformed(String reason) {
		return new RejectionException(BAD_REQUEST, reason, 0);
	}

	static RejectionException unknownKey() {
		return new RejectionException(UNAUTHORIZED, "unknown API key", 0);
	}

	static RejectionException noRoute() {
		return new RejectionException(NOT_FOUND, "no route for this host and path", 0);
	}

	static RejectionException tooLarge() {
		return new RejectionException(BODY_TOO_LARGE, "request body too large", 0);
	}

	static RejectionException overTokenLimit(double retryAfterSeconds) {
		return new RejectionException(TOO_MANY_REQUESTS, "token limit of the team reached", retryAfterSeconds);
	}

	/**
	 * The request has not run and never will.
	 * @param reason why it is rejected
	 * @param retryAfterSeconds time after which the caller may retry, 0 if not given
	 * @return the exception
	 */
	static RejectionException notRun(String reason, double retryAfterSeconds) {
		return new RejectionException(UNAVAILABLE, reason, retryAfterSeconds);
	}

	/**
	 * The request has not run and never will, because this VM is shutting down.
	 * @return the exception
	 */
	static RejectionException shuttingDown() {
		return notRun(SHUTTING_DOWN, SHUTDOWN_RETRY_AFTER_SECONDS);
	}

	/**
	 * The request may have run.
	 * @param reason what is known
	 * @return the exception
	 */
	static RejectionException unknownOutcome(String reason) {
		return new RejectionException(BAD_GATEWAY, reason, 0);
	}

	static RejectionException timedOut() {
		return new RejectionException(GATEWAY_TIMEOUT, "no response within the time limit of the route", 0);
	}

	int status() {
		return this.status;
	}

	double retryAfterSeconds() {
		return this.retryAfterSeconds;
	}

	@Override
	public String getMessage() {
		return String.valueOf(super.getMessage());
	}

}
