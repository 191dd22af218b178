package org.banyanstile.server.caller;

/**
 * A route to a plain service.
 *
 * @param service name of the service
 * @param method HTTP method
 * @param path path below the service
 * @param idempotent whether a call may run more than once
 * @param open whether no API key is required
 * @author banyanstile contributors
 */
public record ServiceRoute(String service, String method, String path, boolean idempotent, boolean open) {

}
