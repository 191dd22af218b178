package org.banyanstile.examples;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import org.banyanstile.config.Endpoint;
import org.banyanstile.config.FleetConfiguration;
import org.banyanstile.config.Team;
import org.banyanstile.config.TeamKey;

/**
 * Options of the example programs. A quickstart on loopback uses them to replace
 * addresses and add keys.
 *
 * @author banyanstile contributors
 */
final class ExampleOptions {

	@Parameter(names = "--endpoint", description = "<name>=<ip:port>: replace the address of an endpoint; repeatable")
	private List<String> endpoints = new ArrayList<>();

	@Parameter(names = "--key", description = "<team>=<keyId>:<salt>:<hash>: add a key, "
			+ "in the form that 'banyanstile key create' prints; repeatable")
	private List<String> keys = new ArrayList<>();

	@Parameter(names = "--only", description = "<name>,<name>: keep only these endpoints")
	private List<String> only = new ArrayList<>();

	@Parameter(names = "--help", help = true, description = "show this text")
	private boolean help;

	boolean isHelp() {
		return this.help;
	}

	FleetConfiguration apply(FleetConfiguration configuration) {
		List<Endpoint> selected = selectedEndpoints(configuration);
		this.endpoints.forEach((option) -> replaceAddress(selected, option));
		List<Team> teams = new ArrayList<>(configuration.teams());
		this.keys.forEach((option) -> addKey(teams, option));
		return new FleetConfiguration(configuration.formatVersion(), configuration.deployment(),
				configuration.regions(), selected, configuration.routes(), teams, configuration.limits());
	}

	private List<Endpoint> selectedEndpoints(FleetConfiguration configuration) {
		for (String name : this.only) {
			if (configuration.endpoint(name).isEmpty()) {
				throw new ParameterException("--only: no endpoint " + name);
			}
		}
		Set<String> names = Set.copyOf(this.only);
		return new ArrayList<>(configuration.endpoints()
			.stream()
			.filter((endpoint) -> names.isEmpty() || names.contains(endpoint.name()))
			.toList());
	}

	private static void replaceAddress(List<Endpoint> endpoints, String option) {
		String name = nameIn(option, "--endpoint");
		boolean found = endpoints.stream().anyMatch((endpoint) -> endpoint.name().equals(name));
		if (!found) {
			throw new ParameterException("--endpoint: no endpoint " + name);
		}
		String address = option.substring(name.length() + 1);
		endpoints.replaceAll((endpoint) -> endpoint.name().equals(name) ? endpoint.withAddress(address) : endpoint);
	}

	private static void addKey(List<Team> teams, String option) {
		String name = nameIn(option, "--key");
		String[] parts = option.substring(name.length() + 1).split(":", -1);
		boolean found = teams.stream().anyMatch((team) -> team.name().equals(name));
		if (!found || parts.length != 3) {
			throw new ParameterException("--key: must be <team>=<keyId>:<salt>:<hash> with one of the teams "
					+ teams.stream().map(Team::name).toList());
		}
		TeamKey key = TeamKey.active(parts[0], parts[1], parts[2]);
		teams.replaceAll((team) -> team.name().equals(name) ? with(team, key) : team);
	}

	private static Team with(Team team, TeamKey key) {
		List<TeamKey> keys = new ArrayList<>(team.keys());
		keys.add(key);
		return team.withKeys(keys);
	}

	private static String nameIn(String option, String parameter) {
		int index = option.indexOf('=');
		if (index < 1) {
			throw new ParameterException(parameter + ": '=' is missing");
		}
		return option.substring(0, index);
	}

}
