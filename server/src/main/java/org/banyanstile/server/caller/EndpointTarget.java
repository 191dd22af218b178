package org.banyanstile.server.caller;

import org.banyanstile.core.common.EndpointId;

/**
 * An endpoint as the configuration describes it, in one role.
 *
 * @param id the name
 * @param address address as {@code ip:port}
 * @param pool the pool
 * @param slots number of requests that the endpoint runs at once
 * @param checksFencing whether the endpoint rejects control orders with a stale fencing
 * token
 * @param active whether the endpoint gets new requests: it is neither leaving nor in a
 * drained data centre
 * @author banyanstile contributors
 */
public record EndpointTarget(EndpointId id, String address, Pool pool, int slots, boolean checksFencing,
		boolean active) {

}
