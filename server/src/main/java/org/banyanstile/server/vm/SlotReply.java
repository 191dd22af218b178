package org.banyanstile.server.vm;

import org.jspecify.annotations.Nullable;

/**
 * Reply to {@link SlotRequest}: an endpoint or a refusal.
 *
 * @param pool name of the pool
 * @param requestId identifier of the request
 * @param endpoint name of the endpoint, or {@code null} for a refusal
 * @param refusal reason of the refusal, or {@code null}
 * @param retryAfterMillis time after which a retry can succeed
 * @author banyanstile contributors
 */
public record SlotReply(String pool, String requestId, @Nullable String endpoint, @Nullable String refusal,
		long retryAfterMillis) {

	/**
	 * No endpoint slot became free before the deadline.
	 */
	public static final String OVERLOADED = "overloaded";

	/**
	 * The request is known to crash endpoints.
	 */
	public static final String CRASHES = "crashes_endpoints";

	/**
	 * The receiver does not own the pool, or does not know its state yet.
	 */
	public static final String NOT_READY = "not_ready";

}
