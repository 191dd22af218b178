package org.banyanstile.server.fleet;

import java.util.List;
import java.util.function.Consumer;

import org.banyanstile.core.common.DataCentreId;
import org.banyanstile.server.caller.Caller;
import org.banyanstile.server.caller.ConfigurationView;
import org.banyanstile.server.caller.EndpointTarget;
import org.banyanstile.server.caller.RequestLimits;
import org.banyanstile.server.caller.ServiceRoute;
import org.banyanstile.server.caller.ServingConfiguration;

/**
 * Configuration with fixed endpoints and no teams.
 *
 * @author banyanstile contributors
 */
final class TestConfiguration implements ConfigurationView, ServingConfiguration {

	private final List<EndpointTarget> endpoints;

	TestConfiguration(EndpointTarget... endpoints) {
		this.endpoints = List.of(endpoints);
	}

	@Override
	public ServingConfiguration current() {
		return this;
	}

	@Override
	public void onChange(Consumer<ServingConfiguration> listener) {
		// It never changes.
	}

	@Override
	public long version() {
		return 1;
	}

	@Override
	public Caller authenticate(String key) {
		return null;
	}

	@Override
	public boolean accepts(Caller caller) {
		return false;
	}

	@Override
	public ServiceRoute route(String service, String method, String path) {
		return null;
	}

	@Override
	public List<EndpointTarget> endpoints() {
		return this.endpoints;
	}

	@Override
	public List<DataCentreId> dataCentres() {
		return List.of();
	}

	@Override
	public int weightOf(String team) {
		return 1;
	}

	@Override
	public RequestLimits limits() {
		return new RequestLimits(1, 1, 1);
	}

}
