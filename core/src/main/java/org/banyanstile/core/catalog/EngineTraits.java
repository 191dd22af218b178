package org.banyanstile.core.catalog;

/**
 * Properties of the engines of a service.
 *
 * @param slots number of requests that one engine runs at once
 * @param memoryTokens number of tokens that fit into the KV memory of one engine
 * @param handleMillis how long the KV cache of a prefilled prompt is kept for a decode
 * engine
 * @param roleChangeMillis how long an engine is out of service when its role changes
 * @param maxReservationMillis longest lifetime of a reservation
 * @author banyanstile contributors
 */
public record EngineTraits(int slots, long memoryTokens, long handleMillis, long roleChangeMillis,
		long maxReservationMillis) {

}
