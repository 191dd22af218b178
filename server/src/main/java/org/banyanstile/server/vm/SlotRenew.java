package org.banyanstile.server.vm;

/**
 * Notice to the owner of a pool that a slot is in use. An owner that does not know the
 * slot, because it has just taken over, records it.
 *
 * @param pool name of the pool
 * @param requestId identifier of the request
 * @param endpoint name of the endpoint
 * @author banyanstile contributors
 */
public record SlotRenew(String pool, String requestId, String endpoint) {

}
