package org.banyanstile.core.catalog;

import org.jspecify.annotations.Nullable;

/**
 * A service with interchangeable endpoints.
 *
 * @param name name of the service
 * @param healthPath path of the health check
 * @param maxConnections connections that one endpoint accepts from all VMs
 * @param coldMillis how long an endpoint is cold after its start, 0 for never
 * @param coldPerSecond requests a second that a cold endpoint can take
 * @param engine traits of its engines, {@code null} for a plain service
 * @author banyanstile contributors
 */
public record ServedService(String name, String healthPath, int maxConnections, long coldMillis, double coldPerSecond,
		@Nullable EngineTraits engine) {

}
