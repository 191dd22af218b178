package org.banyanstile.server.caller;

/**
 * Decision on a demand for a slot.
 *
 * @author banyanstile contributors
 */
public sealed interface SlotDecision {

	/**
	 * A slot was granted.
	 *
	 * @param pool the pool
	 * @param requestId identifier of the request
	 * @param endpoint the endpoint that the slot belongs to
	 * @author banyanstile contributors
	 */
	record Granted(Pool pool, String requestId, EndpointTarget endpoint) implements SlotDecision {

	}

	/**
	 * No slot can be had in time.
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
