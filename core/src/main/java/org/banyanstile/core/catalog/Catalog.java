package org.banyanstile.core.catalog;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.jspecify.annotations.Nullable;

/**
 * One version of the configuration, indexed for requests. Immutable.
 *
 * @author banyanstile contributors
 */
public final class Catalog {

	private final long version;

	private final Map<String, List<ServedRoute>> routesByHost;

	private final Map<String, ServedService> services;

	private final Map<String, TeamPolicy> teamsByKey;

	private final boolean keyRequired;

	private final long maxBodyBytes;

	private Catalog(long version, Map<String, List<ServedRoute>> routesByHost, Map<String, ServedService> services,
			Map<String, TeamPolicy> teamsByKey, boolean keyRequired, long maxBodyBytes) {
		this.version = version;
		this.routesByHost = routesByHost;
		this.services = services;
		this.teamsByKey = teamsByKey;
		this.keyRequired = keyRequired;
		this.maxBodyBytes = maxBodyBytes;
	}

	/**
	 * Creates a catalog.
	 * @param version version of the configuration
	 * @param routes the routes
	 * @param services the services
	 * @param teamsByKey teams by API key
	 * @param keyRequired whether requests need an API key
	 * @param maxBodyBytes largest request body
	 * @return the catalog
	 */
	public static Catalog of(long version, Collection<ServedRoute> routes, Collection<ServedService> services,
			Map<String, TeamPolicy> teamsByKey, boolean keyRequired, long maxBodyBytes) {
		Map<String, List<ServedRoute>> byHost = new HashMap<>();
		Comparator<ServedRoute> longestFirst = Comparator.comparingInt((ServedRoute route) -> route.prefix().length())
			.reversed();
		routes.stream()
			.sorted(longestFirst)
			.forEach((route) -> byHost.computeIfAbsent(route.host(), (host) -> new ArrayList<>()).add(route));
		Map<String, ServedService> byName = new HashMap<>();
		services.forEach((service) -> byName.put(service.name(), service));
		return new Catalog(version, byHost, byName, Map.copyOf(teamsByKey), keyRequired, maxBodyBytes);
	}

	/**
	 * Returns the version.
	 * @return the version
	 */
	public long version() {
		return this.version;
	}

	/**
	 * Finds the route with the longest matching prefix.
	 * @param host host name without port
	 * @param path path without query, as the caller sent it
	 * @return the route, or {@code null} if none matches
	 */
	public @Nullable ServedRoute route(String host, String path) {
		for (ServedRoute route : this.routesByHost.getOrDefault(host, List.of())) {
			if (path.startsWith(route.prefix())) {
				return route;
			}
		}
		return null;
	}

	/**
	 * Returns all routes.
	 * @return the routes
	 */
	public List<ServedRoute> routes() {
		return this.routesByHost.values().stream().flatMap(List::stream).toList();
	}

	/**
	 * Finds a service.
	 * @param name name of the service
	 * @return the service, or {@code null} if it is not configured
	 */
	public @Nullable ServedService service(String name) {
		return this.services.get(name);
	}

	/**
	 * Returns all services.
	 * @return the services
	 */
	public Collection<ServedService> services() {
		return this.services.values();
	}

	/**
	 * Finds the team of an API key.
	 * @param key the API key
	 * @return the team, or {@code null} if no team has the key
	 */
	public @Nullable TeamPolicy team(String key) {
		return this.teamsByKey.get(key);
	}

	/**
	 * Returns all teams.
	 * @return the teams
	 */
	public Collection<TeamPolicy> teams() {
		return Set.copyOf(this.teamsByKey.values());
	}

	/**
	 * Returns whether requests need an API key.
	 * @return whether they do
	 */
	public boolean isKeyRequired() {
		return this.keyRequired;
	}

	/**
	 * Returns the largest permitted request body.
	 * @return the size in bytes
	 */
	public long maxBodyBytes() {
		return this.maxBodyBytes;
	}

}
