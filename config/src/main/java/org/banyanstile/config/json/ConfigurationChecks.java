package org.banyanstile.config.json;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.banyanstile.config.DataCentre;
import org.banyanstile.config.Endpoint;
import org.banyanstile.config.EndpointKind;
import org.banyanstile.config.FleetConfiguration;
import org.banyanstile.config.IpPort;
import org.banyanstile.config.Region;
import org.banyanstile.config.Route;
import org.banyanstile.config.Team;

/**
 * Validation rules that a schema cannot express: names that must be unique, and
 * references between parts of the configuration.
 *
 * @author banyanstile contributors
 */
final class ConfigurationChecks {

	private final String file;

	private final FleetConfiguration configuration;

	private final List<Problem> problems = new ArrayList<>();

	/**
	 * Path of the first use of each name, by kind and name.
	 */
	private final Map<String, String> used = new HashMap<>();

	private final Set<String> dataCentres = new HashSet<>();

	private ConfigurationChecks(String file, FleetConfiguration configuration) {
		this.file = file;
		this.configuration = configuration;
	}

	static List<Problem> check(String file, FleetConfiguration configuration) {
		ConfigurationChecks checks = new ConfigurationChecks(file, configuration);
		checks.checkRegions();
		checks.checkEndpoints();
		checks.checkRoutes();
		checks.checkTeams();
		return checks.problems;
	}

	private void checkRegions() {
		List<Region> regions = this.configuration.regions();
		for (int i = 0; i < regions.size(); i++) {
			String path = "$.regions[" + i + "]";
			unique("region", regions.get(i).name(), path + ".name");
			List<DataCentre> members = regions.get(i).dataCentres();
			for (int k = 0; k < members.size(); k++) {
				unique("data centre", members.get(k).name(), path + ".dataCentres[" + k + "].name");
				this.dataCentres.add(members.get(k).name());
			}
		}
	}

	private void checkEndpoints() {
		List<Endpoint> endpoints = this.configuration.endpoints();
		for (int i = 0; i < endpoints.size(); i++) {
			Endpoint endpoint = endpoints.get(i);
			String path = "$.endpoints[" + i + "]";
			unique("endpoint", endpoint.name(), path + ".name");
			unique("endpoint address", endpoint.address(), path + ".address");
			if (IpPort.parse(endpoint.address()).isEmpty()) {
				add(path + ".address", Values.quote(endpoint.address()), Addresses.ALLOWED);
			}
			if (!this.dataCentres.contains(endpoint.dataCentre())) {
				add(path + ".dataCentre", Values.quote(endpoint.dataCentre()),
						"must be a data centre of $.regions: " + this.dataCentres.stream().sorted().toList());
			}
			checkKind(endpoint, path);
		}
	}

	private void checkKind(Endpoint endpoint, String path) {
		boolean engine = endpoint.kind() == EndpointKind.ENGINE;
		if (engine != (endpoint.role() != null)) {
			add(path + ".role", engine ? "missing" : "\"" + endpoint.role() + "\"",
					engine ? "an engine requires a role" : "a plain service has no role");
		}
		if (engine != (endpoint.kvPieces() > 0)) {
			add(path + ".kvPieces", engine ? "missing" : String.valueOf(endpoint.kvPieces()),
					engine ? "an engine requires the size of its KV memory" : "a plain service has no KV memory");
		}
	}

	private void checkRoutes() {
		List<Route> routes = this.configuration.routes();
		for (int i = 0; i < routes.size(); i++) {
			Route route = routes.get(i);
			unique("route", route.service() + " " + route.method() + " " + route.path(), "$.routes[" + i + "]");
		}
	}

	private void checkTeams() {
		List<Team> teams = this.configuration.teams();
		for (int i = 0; i < teams.size(); i++) {
			String path = "$.teams[" + i + "]";
			unique("team", teams.get(i).name(), path + ".name");
			for (int k = 0; k < teams.get(i).keys().size(); k++) {
				unique("key", teams.get(i).keys().get(k).id(), path + ".keys[" + k + "].id");
			}
		}
	}

	private void unique(String kind, String name, String path) {
		String first = this.used.putIfAbsent(kind + " " + name, path);
		if (first != null) {
			add(path, Values.quote(name), "must be unique in the fleet, but " + first + " is the same " + kind);
		}
	}

	private void add(String path, String value, String allowed) {
		this.problems.add(new Problem(this.file, path, value, allowed));
	}

}
