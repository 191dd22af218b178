package org.banyanstile.server.caller;

/**
 * A route to a plain service.
 *
 * @param service name of the service
 * @param method request method
 * @param path path below the service
 * @param idempotent whether a call may be repeated
 * @param open whether no key is needed
 * @author banyanstile contributors
 */
public record ServiceRoute(String service, String method, String path, boolean idempotent, boolean open) {

}
