package org.banyanstile.core.catalog;

import org.jspecify.annotations.Nullable;

/**
 * A service with interchangeable endpoints.
 *
 * @param name name of the service
 * @param healthPath path of the health check
 * @param maxConnections number of connections that one endpoint accepts from all VMs
 * together
 * @param coldMillis duration of the cold start of an endpoint, 0 for none
 * @param coldPerSecond requests per second that a cold endpoint can take
 * @param engine traits of its engines, {@code null} for a plain service
 * @author banyanstile contributors
 */
public record ServedService(String name, String healthPath, int maxConnections, long coldMillis, double coldPerSecond,
		@Nullable EngineTraits engine) {

}
