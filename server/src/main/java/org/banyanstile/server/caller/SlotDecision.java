package org.banyanstile.server.caller;

/**
 * Decision on a request for an endpoint slot.
 *
 * @author banyanstile contributors
 */
public sealed interface SlotDecision {

	/**
	 * A slot was granted.
	 *
	 * @param pool the pool
	 * @param requestId identifier of the request
	 * @param endpoint the endpoint of the slot
	 * @author banyanstile contributors
	 */
	record Granted(Pool pool, String requestId, EndpointTarget endpoint) implements SlotDecision {

	}

	/**
	 * No slot becomes free in time.
	 *
	 * @param retryAfterMillis time after which a slot is likely to be free
	 * @author banyanstile contributors
	 */
	record Overloaded(long retryAfterMillis) implements SlotDecision {

	}

	/**
	 * The request is known to crash endpoints.
	 *
	 * @author banyanstile contributors
	 */
	record Crashing() implements SlotDecision {

	}

}
