package org.banyanstile.server.caller;

import org.banyanstile.core.common.EndpointId;

/**
 * Where the stream of a request runs.
 *
 * @param requestId identifier under which the engine knows the request
 * @param endpoint the decode endpoint
 * @param bodyHash SHA-256 of the request body, in hexadecimal
 * @author banyanstile contributors
 */
public record StreamLocation(String requestId, EndpointId endpoint, String bodyHash) {

}
