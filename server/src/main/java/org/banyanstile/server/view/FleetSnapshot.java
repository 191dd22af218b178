package org.banyanstile.server.view;

import java.util.List;
import java.util.Map;
import java.util.Set;

import org.banyanstile.core.canary.RolloutOrder;
import org.banyanstile.core.catalog.Catalog;
import org.banyanstile.core.catalog.EndpointRole;
import org.banyanstile.core.catalog.RegisteredEndpoint;
import org.jspecify.annotations.Nullable;

/**
 * Configuration and endpoints as this VM knows them at one moment. Immutable.
 *
 * @param catalog the configuration, {@code null} before the first one
 * @param usable endpoints that may get new work, by service
 * @param all all registered endpoints, by id
 * @param evacuated data centres that get no new work
 * @param rollouts rollouts that the operator requests, by service
 * @author banyanstile contributors
 */
public record FleetSnapshot(@Nullable Catalog catalog, Map<String, List<RegisteredEndpoint>> usable,
		Map<String, RegisteredEndpoint> all, Set<String> evacuated, Map<String, RolloutOrder> rollouts) {

	/**
	 * Returns the endpoints of a service that may get new work.
	 * @param service name of the service
	 * @param role their role
	 * @return the endpoints
	 */
	public List<RegisteredEndpoint> usable(String service, EndpointRole role) {
		return this.usable.getOrDefault(service, List.of())
			.stream()
			.filter((endpoint) -> endpoint.role() == role)
			.toList();
	}

	/**
	 * Returns whether an endpoint may get new work.
	 * @param endpoint the endpoint
	 * @return whether it may
	 */
	public boolean isUsable(RegisteredEndpoint endpoint) {
		for (RegisteredEndpoint candidate : this.usable.getOrDefault(endpoint.service(), List.of())) {
			if (candidate.id().equals(endpoint.id())) {
				return true;
			}
		}
		return false;
	}

}
