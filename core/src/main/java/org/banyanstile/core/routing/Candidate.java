package org.banyanstile.core.routing;

import org.banyanstile.core.common.EndpointId;

/**
 * Endpoint that may be chosen: active, in a data centre that is not drained.
 *
 * @param endpoint the endpoint
 * @param capacity the number of requests that it can run
 * @author banyanstile contributors
 */
public record Candidate(EndpointId endpoint, int capacity) {
}
