package org.banyanstile.server.scheduling;

import org.jspecify.annotations.Nullable;

/**
 * Answer to a request that asked for a placement.
 *
 * @author banyanstile contributors
 */
public sealed interface PlacementAnswer {

	/**
	 * Engines for the request.
	 *
	 * @param engine id of the decode engine
	 * @param prefillEngine id of the prefill engine, {@code null} if the decode engine
	 * should prefill the prompt
	 * @author banyanstile contributors
	 */
	record Placed(String engine, @Nullable String prefillEngine) implements PlacementAnswer {

	}

	/**
	 * The request cannot be served in time.
	 *
	 * @param retryAfterMillis time after which the caller may retry
	 * @author banyanstile contributors
	 */
	record Refused(long retryAfterMillis) implements PlacementAnswer {

	}

	/**
	 * No scheduler answers, so the VM has to place the request itself.
	 *
	 * @author banyanstile contributors
	 */
	record Unanswered() implements PlacementAnswer {

	}

	/**
	 * The request was cancelled while it waited.
	 *
	 * @author banyanstile contributors
	 */
	record Cancelled() implements PlacementAnswer {

	}

}
