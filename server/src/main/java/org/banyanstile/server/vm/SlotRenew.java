package org.banyanstile.server.vm;

/**
 * Notifies the owner of a pool that an endpoint slot is in use. An owner that has just
 * taken over and does not know the slot records it.
 *
 * @param pool name of the pool
 * @param requestId identifier of the request
 * @param endpoint name of the endpoint
 * @author banyanstile contributors
 */
public record SlotRenew(String pool, String requestId, String endpoint) {

}
