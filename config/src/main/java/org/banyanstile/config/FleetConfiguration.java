package org.banyanstile.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.jspecify.annotations.Nullable;

/**
 * Immutable configuration of a fleet. It does not contain its version, which the table
 * service assigns.
 *
 * @param formatVersion version of the JSON format, {@link #FORMAT_VERSION}
 * @param deployment name of the deployment
 * @param regions regions with their data centres
 * @param endpoints engines and plain services
 * @param routes routes of the plain services
 * @param teams teams with their limits and keys
 * @param limits size limits of a request
 * @author banyanstile contributors
 */
public record FleetConfiguration(int formatVersion, String deployment, List<Region> regions, List<Endpoint> endpoints,
		List<Route> routes, List<Team> teams, Limits limits) {

	/**
	 * Version of the JSON format.
	 */
	public static final int FORMAT_VERSION = 1;

	/**
	 * Copies the lists.
	 * @param formatVersion version of the JSON format
	 * @param deployment name of the deployment
	 * @param regions regions with their data centres
	 * @param endpoints engines and plain services
	 * @param routes routes of the plain services
	 * @param teams teams with their limits and keys
	 * @param limits size limits of a request
	 */
	public FleetConfiguration {
		regions = List.copyOf(regions);
		endpoints = List.copyOf(endpoints);
		routes = List.copyOf(routes);
		teams = List.copyOf(teams);
	}

	/**
	 * Returns a builder of an empty configuration.
	 * @param deployment name of the deployment
	 * @return the builder
	 */
	public static Builder builder(String deployment) {
		return new Builder(deployment);
	}

	/**
	 * Returns all data centres.
	 * @return the data centres of all regions
	 */
	public List<DataCentre> dataCentres() {
		return this.regions.stream().flatMap((region) -> region.dataCentres().stream()).toList();
	}

	/**
	 * Finds a data centre.
	 * @param name its name
	 * @return the data centre, or empty if there is none of this name
	 */
	public Optional<DataCentre> dataCentre(String name) {
		return dataCentres().stream().filter((candidate) -> candidate.name().equals(name)).findFirst();
	}

	/**
	 * Finds an endpoint.
	 * @param name its name
	 * @return the endpoint, or empty if there is none of this name
	 */
	public Optional<Endpoint> endpoint(String name) {
		return this.endpoints.stream().filter((candidate) -> candidate.name().equals(name)).findFirst();
	}

	/**
	 * Finds a team.
	 * @param name its name
	 * @return the team, or empty if there is none of this name
	 */
	public Optional<Team> team(String name) {
		return this.teams.stream().filter((candidate) -> candidate.name().equals(name)).findFirst();
	}

	/**
	 * Finds a route of a plain service.
	 * @param service name of the service
	 * @param method request method
	 * @param path path below the service
	 * @return the route, or empty if there is none
	 */
	public Optional<Route> route(String service, String method, String path) {
		return this.routes.stream()
			.filter((route) -> route.service().equals(service) && route.method().equals(method)
					&& route.path().equals(path))
			.findFirst();
	}

	/**
	 * Returns whether an endpoint receives new work: it is active and its data centre is
	 * not drained.
	 * @param endpoint the endpoint
	 * @return whether it receives new work
	 */
	public boolean acceptsWork(Endpoint endpoint) {
		return endpoint.state() == EndpointState.ACTIVE
				&& dataCentre(endpoint.dataCentre()).filter((dataCentre) -> !dataCentre.drained()).isPresent();
	}

	/**
	 * Builder of a configuration.
	 */
	public static final class Builder {

		private final String deployment;

		private final List<Region> regions = new ArrayList<>();

		private final List<Endpoint> endpoints = new ArrayList<>();

		private final List<Route> routes = new ArrayList<>();

		private final List<Team> teams = new ArrayList<>();

		private @Nullable Limits limits;

		private Builder(String deployment) {
			this.deployment = deployment;
		}

		/**
		 * Adds a region.
		 * @param region the region
		 * @return this builder
		 */
		public Builder region(Region region) {
			this.regions.add(region);
			return this;
		}

		/**
		 * Adds an endpoint.
		 * @param endpoint the endpoint
		 * @return this builder
		 */
		public Builder endpoint(Endpoint endpoint) {
			this.endpoints.add(endpoint);
			return this;
		}

		/**
		 * Adds a route of a plain service.
		 * @param route the route
		 * @return this builder
		 */
		public Builder route(Route route) {
			this.routes.add(route);
			return this;
		}

		/**
		 * Adds a team.
		 * @param team the team
		 * @return this builder
		 */
		public Builder team(Team team) {
			this.teams.add(team);
			return this;
		}

		/**
		 * Sets the size limits of a request.
		 * @param limits the limits
		 * @return this builder
		 */
		public Builder limits(Limits limits) {
			this.limits = limits;
			return this;
		}

		/**
		 * Returns the configuration. It is not validated here; the JSON that is printed
		 * from it is validated by each reader.
		 * @return the configuration
		 */
		public FleetConfiguration build() {
			if (this.limits == null) {
				throw new IllegalStateException("limits are not set");
			}
			return new FleetConfiguration(FORMAT_VERSION, this.deployment, this.regions, this.endpoints, this.routes,
					this.teams, this.limits);
		}

	}

}
