package org.banyanstile.core.admission;

import org.banyanstile.core.common.EndpointId;

/**
 * Decision on a slot request, to be sent to the VM that made the request.
 *
 * @author banyanstile contributors
 */
public sealed interface SlotDecision {

	/**
	 * Returns the request.
	 * @return the request
	 */
	String requestId();

	/**
	 * A slot is held for the request.
	 *
	 * @param requestId the request
	 * @param endpoint the decode endpoint
	 * @param validNanos the time after which the slot is reclaimed if the engine does not
	 * list the stream
	 */
	record Granted(String requestId, EndpointId endpoint, long validNanos) implements SlotDecision {
	}

	/**
	 * No work was done for the request and none will be.
	 *
	 * @param requestId the request
	 * @param retryAfterNanos the time after which a slot is expected
	 */
	record Refused(String requestId, long retryAfterNanos) implements SlotDecision {
	}

}
