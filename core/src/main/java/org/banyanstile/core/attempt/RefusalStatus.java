package org.banyanstile.core.attempt;

/**
 * Decides whether the status code of an error proves that the endpoint did not run the
 * request.
 *
 * @author banyanstile contributors
 */
public final class RefusalStatus {

	private static final int SERVER_ERROR = 500;

	private static final int SERVICE_UNAVAILABLE = 503;

	private static final int REQUEST_TIMEOUT = 408;

	private static final int TOO_MANY_REQUESTS = 429;

	private RefusalStatus() {
	}

	/**
	 * Returns whether an error proves that the request did not run. After a server error
	 * it may have run, except after 503, which means that the endpoint is overloaded or
	 * in cold start.
	 * @param status status code of the error, at least 400
	 * @return whether it does
	 */
	public static boolean isProof(int status) {
		return status < SERVER_ERROR || status == SERVICE_UNAVAILABLE;
	}

	/**
	 * Returns whether a status tells a caller that its request did not run and may be
	 * sent again.
	 * @param status status code of a response
	 * @return whether it does
	 */
	public static boolean isPromise(int status) {
		return status == REQUEST_TIMEOUT || status == TOO_MANY_REQUESTS || status == SERVICE_UNAVAILABLE;
	}

}
