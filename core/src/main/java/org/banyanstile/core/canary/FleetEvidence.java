package org.banyanstile.core.canary;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Evidence of all VMs about a rollout.
 *
 * @param requests all requests of the service since the order
 * @param sentNew requests that were sent to the new version
 * @param routes outcomes by route and version
 * @author banyanstile contributors
 */
public record FleetEvidence(long requests, long sentNew, List<RouteEvidence> routes) {

	/**
	 * Adds the evidence of several VMs.
	 * @param vms the evidence of each VM
	 * @return the sum
	 */
	public static FleetEvidence sum(Collection<FleetEvidence> vms) {
		Map<String, RouteEvidence> sums = new LinkedHashMap<>();
		vms.forEach((vm) -> vm.routes()
			.forEach((route) -> sums.merge(route.isNew() + " " + route.route(), route, RouteEvidence::plus)));
		return new FleetEvidence(vms.stream().mapToLong(FleetEvidence::requests).sum(),
				vms.stream().mapToLong(FleetEvidence::sentNew).sum(), List.copyOf(sums.values()));
	}

	/**
	 * Returns the evidence of one version by route.
	 * @param isNew whether that of the new version
	 * @return the evidence by name of the route
	 */
	public Map<String, RouteEvidence> byRoute(boolean isNew) {
		Map<String, RouteEvidence> result = new TreeMap<>();
		this.routes.stream()
			.filter((route) -> route.isNew() == isNew)
			.forEach((route) -> result.merge(route.route(), route, RouteEvidence::plus));
		return result;
	}

	/**
	 * Returns the evidence of one version on all routes together.
	 * @param isNew whether that of the new version
	 * @return the evidence
	 */
	public RouteEvidence all(boolean isNew) {
		return byRoute(isNew).values().stream().reduce(RouteEvidence.none("all routes", isNew), RouteEvidence::plus);
	}

}
