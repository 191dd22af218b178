package org.banyanstile.core.attempt;

import org.jspecify.annotations.Nullable;

/**
 * Decides whether a response belongs to the request that waits for it. An endpoint may
 * send bytes of an earlier exchange late, where the next response on the connection is
 * due.
 *
 * @author banyanstile contributors
 */
public final class ResponseBinding {

	private ResponseBinding() {
	}

	/**
	 * Returns whether a response that refuses a request belongs to that request, which
	 * proves that the request did not run.
	 * @param requestId id of the request, {@code null} if it has none
	 * @param responseId id in the response, {@code null} if it has none
	 * @param firstExchange whether the connection carried no exchange before this one
	 * @return whether it does
	 */
	public static boolean provesRefusal(@Nullable String requestId, @Nullable String responseId,
			boolean firstExchange) {
		return (responseId != null) ? responseId.equals(requestId) : firstExchange;
	}

}
