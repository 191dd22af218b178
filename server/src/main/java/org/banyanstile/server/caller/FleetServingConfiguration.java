package org.banyanstile.server.caller;

import java.util.List;
import java.util.stream.Stream;

import org.banyanstile.config.Endpoint;
import org.banyanstile.config.EndpointKind;
import org.banyanstile.config.EndpointRole;
import org.banyanstile.config.FleetConfiguration;
import org.banyanstile.config.Team;
import org.banyanstile.config.key.KeyRing;
import org.banyanstile.core.common.DataCentreId;
import org.banyanstile.core.common.EndpointId;
import org.banyanstile.core.common.TeamId;
import org.jspecify.annotations.Nullable;

/**
 * Lookups in one version of the fleet configuration.
 *
 * @author banyanstile contributors
 */
public final class FleetServingConfiguration implements ServingConfiguration {

	private final long version;

	private final FleetConfiguration configuration;

	private final KeyRing keys;

	private final List<EndpointTarget> endpoints;

	private final List<DataCentreId> dataCentres;

	private FleetServingConfiguration(long version, FleetConfiguration configuration) {
		this.version = version;
		this.configuration = configuration;
		this.keys = KeyRing.of(configuration);
		this.endpoints = configuration.endpoints()
			.stream()
			.flatMap((endpoint) -> targets(configuration, endpoint).stream())
			.toList();
		this.dataCentres = configuration.dataCentres()
			.stream()
			.map((dataCentre) -> DataCentreId.of(dataCentre.name()))
			.toList();
	}

	/**
	 * Creates the lookups.
	 * @param version the version
	 * @param configuration the configuration
	 * @return the lookups
	 */
	public static FleetServingConfiguration of(long version, FleetConfiguration configuration) {
		return new FleetServingConfiguration(version, configuration);
	}

	private static List<EndpointTarget> targets(FleetConfiguration configuration, Endpoint endpoint) {
		if (endpoint.kind() == EndpointKind.SERVICE) {
			return List.of(target(configuration, endpoint, PoolRole.SERVICE));
		}
		return Stream.of(PoolRole.PREFILL, PoolRole.DECODE)
			.filter((role) -> endpoint.role() == EndpointRole.BOTH
					|| (endpoint.role() == EndpointRole.PREFILL) == (role == PoolRole.PREFILL))
			.map((role) -> target(configuration, endpoint, role))
			.toList();
	}

	private static EndpointTarget target(FleetConfiguration configuration, Endpoint endpoint, PoolRole role) {
		Pool pool = new Pool(DataCentreId.of(endpoint.dataCentre()), endpoint.serves(), role);
		return new EndpointTarget(EndpointId.of(endpoint.name()), endpoint.address(), pool, endpoint.slots(),
				endpoint.checksFencing(), configuration.acceptsWork(endpoint));
	}

	@Override
	public long version() {
		return this.version;
	}

	/**
	 * Returns the whole configuration.
	 * @return the configuration
	 */
	public FleetConfiguration configuration() {
		return this.configuration;
	}

	@Override
	public @Nullable Caller authenticate(String key) {
		return this.keys.authenticate(key)
			.map((authenticated) -> new Caller(TeamId.of(authenticated.team().name()), authenticated))
			.orElse(null);
	}

	@Override
	public boolean accepts(Caller caller) {
		return this.keys.isActive(caller.key());
	}

	@Override
	public @Nullable ServiceRoute route(String service, String method, String path) {
		return this.configuration.route(service, method, path)
			.map((route) -> new ServiceRoute(route.service(), route.method(), route.path(), route.idempotent(),
					route.open()))
			.orElse(null);
	}

	@Override
	public List<EndpointTarget> endpoints() {
		return this.endpoints;
	}

	@Override
	public List<DataCentreId> dataCentres() {
		return this.dataCentres;
	}

	@Override
	public int weightOf(String team) {
		return this.configuration.team(team).map(Team::weight).orElse(1);
	}

	@Override
	public RequestLimits limits() {
		return new RequestLimits(this.configuration.limits().maxPromptTokens(),
				this.configuration.limits().maxOutputTokens(), this.configuration.limits().maxBodyBytes());
	}

}
