package org.banyanstile.server.vm;

/**
 * Returns an endpoint slot to the owner of its pool.
 *
 * @param pool name of the pool
 * @param requestId identifier of the request
 * @param endpoint name of the endpoint
 * @param outcome how the request ended at the endpoint
 * @author banyanstile contributors
 */
public record SlotRelease(String pool, String requestId, String endpoint, String outcome) {

}
