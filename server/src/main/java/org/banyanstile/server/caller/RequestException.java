package org.banyanstile.server.caller;

/**
 * Error that ends a request and is reported to the caller.
 *
 * @author banyanstile contributors
 */
public final class RequestException extends Exception {

	private static final long serialVersionUID = 1L;

	private final ErrorType type;

	private final RunState run;

	private final int status;

	private final long retryAfterMillis;

	private RequestException(ErrorType type, RunState run, int status, String message, long retryAfterMillis) {
		super(message, null, false, false);
		this.type = type;
		this.run = run;
		this.status = status;
		this.retryAfterMillis = retryAfterMillis;
	}

	/**
	 * Returns an error for a request that did not run and for which a retry is useless.
	 * @param type type of the error
	 * @param message message for the caller
	 * @return the error
	 */
	public static RequestException notRun(ErrorType type, String message) {
		return new RequestException(type, RunState.NOT_RUN, type.status(), message, -1);
	}

	/**
	 * Returns an error for a request that did not run and may be retried.
	 * @param type type of the error
	 * @param message message for the caller
	 * @param retryAfterMillis time after which a retry can succeed
	 * @return the error
	 */
	public static RequestException notRun(ErrorType type, String message, long retryAfterMillis) {
		return new RequestException(type, RunState.NOT_RUN, type.status(), message, retryAfterMillis);
	}

	/**
	 * Returns an error for a request that may have run.
	 * @param type type of the error
	 * @param message message for the caller
	 * @return the error
	 */
	public static RequestException unknown(ErrorType type, String message) {
		return new RequestException(type, RunState.UNKNOWN, type.status(), message, -1);
	}

	/**
	 * Returns an error for a request that may have run, after which a repeated request
	 * can succeed.
	 * @param type type of the error
	 * @param message message for the caller
	 * @param retryAfterMillis time after which a repeated request can succeed
	 * @return the error
	 */
	public static RequestException unknown(ErrorType type, String message, long retryAfterMillis) {
		return new RequestException(type, RunState.UNKNOWN, type.status(), message, retryAfterMillis);
	}

	/**
	 * Returns an error for a request that the endpoint refused.
	 * @param status status code of the endpoint
	 * @param message message for the caller
	 * @return the error
	 */
	public static RequestException refusedByEndpoint(int status, String message) {
		return new RequestException(ErrorType.ENDPOINT_REFUSED, RunState.REFUSED_BY_ENDPOINT, status, message, -1);
	}

	/**
	 * Returns this error without the statement that the request did not run or was
	 * refused, because it may have run.
	 * @return the error
	 */
	RequestException afterAttempt() {
		return (this.run == RunState.UNKNOWN) ? this : new RequestException(this.type, RunState.UNKNOWN, this.status,
				String.valueOf(getMessage()), this.retryAfterMillis);
	}

	/**
	 * Returns the type.
	 * @return the type
	 */
	public ErrorType type() {
		return this.type;
	}

	/**
	 * Returns whether the call ran at the endpoint.
	 * @return the state
	 */
	public RunState run() {
		return this.run;
	}

	/**
	 * Returns the status code.
	 * @return the status code
	 */
	public int status() {
		return this.status;
	}

	/**
	 * Returns the time after which a retry can succeed.
	 * @return the time in milliseconds, negative if a retry is useless
	 */
	public long retryAfterMillis() {
		return this.retryAfterMillis;
	}

}
