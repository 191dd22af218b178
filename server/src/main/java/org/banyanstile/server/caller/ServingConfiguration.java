package org.banyanstile.server.caller;

import java.util.List;

import org.banyanstile.core.common.DataCentreId;
import org.jspecify.annotations.Nullable;

/**
 * One version of the configuration, with the lookups that request handling needs.
 * Immutable.
 *
 * @author banyanstile contributors
 */
public interface ServingConfiguration {

	/**
	 * Returns the version.
	 * @return the version, 0 before any configuration was accepted
	 */
	long version();

	/**
	 * Finds the caller that presents a key. Takes the same time for any wrong secret.
	 * @param key the presented key
	 * @return the caller, or {@code null} if no active key matches
	 */
	@Nullable
	Caller authenticate(String key);

	/**
	 * Returns whether the key of a caller is still active.
	 * @param caller the caller
	 * @return whether requests with this key may continue
	 */
	boolean accepts(Caller caller);

	/**
	 * Finds a route.
	 * @param service name of the service
	 * @param method the HTTP method
	 * @param path path below the service, starting with a slash
	 * @return the route, or {@code null} if there is none
	 */
	@Nullable
	ServiceRoute route(String service, String method, String path);

	/**
	 * Returns all endpoints. An engine with both roles is listed once for each role.
	 * @return the endpoints
	 */
	List<EndpointTarget> endpoints();

	/**
	 * Returns the data centres, drained ones included.
	 * @return the data centres
	 */
	List<DataCentreId> dataCentres();

	/**
	 * Returns the weight of a team in fair queues.
	 * @param team name of the team
	 * @return the weight, 1 for an unknown team
	 */
	int weightOf(String team);

	/**
	 * Returns the size limits of requests.
	 * @return the limits
	 */
	RequestLimits limits();

}
