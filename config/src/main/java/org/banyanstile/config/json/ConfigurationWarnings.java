package org.banyanstile.config.json;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

import org.banyanstile.config.Endpoint;
import org.banyanstile.config.EndpointKind;
import org.banyanstile.config.FleetConfiguration;
import org.banyanstile.config.KeyState;
import org.banyanstile.config.Team;

/**
 * Finds parts of a valid configuration that are probably unintended.
 *
 * @author banyanstile contributors
 */
public final class ConfigurationWarnings {

	private ConfigurationWarnings() {
	}

	/**
	 * Returns the warnings for a configuration.
	 * @param file name of the source, for messages
	 * @param configuration a valid configuration
	 * @return the warnings
	 */
	public static List<Problem> of(String file, FleetConfiguration configuration) {
		List<Problem> warnings = new ArrayList<>();
		long largest = configuration.limits().largestRequestTokens();
		for (int i = 0; i < configuration.teams().size(); i++) {
			addTeam(warnings, file, "$.teams[" + i + "]", configuration.teams().get(i), largest);
		}
		Set<String> services = configuration.endpoints()
			.stream()
			.filter((endpoint) -> endpoint.kind() == EndpointKind.SERVICE)
			.map(Endpoint::serves)
			.collect(Collectors.toSet());
		for (int i = 0; i < configuration.routes().size(); i++) {
			String service = configuration.routes().get(i).service();
			if (!services.contains(service)) {
				warnings.add(new Problem(file, "$.routes[" + i + "].service", Values.quote(service),
						"no endpoint serves it, so its calls are rejected"));
			}
		}
		return warnings;
	}

	private static void addTeam(List<Problem> warnings, String file, String path, Team team, long largest) {
		if (team.burstTokens() < largest) {
			warnings.add(new Problem(file, path + ".burstTokens", String.valueOf(team.burstTokens()),
					"should be at least maxPromptTokens + maxOutputTokens = " + largest
							+ "; the team's larger requests are always rejected"));
		}
		if (team.keys().stream().noneMatch((key) -> key.state() == KeyState.ACTIVE)) {
			warnings.add(new Problem(file, path + ".keys", "no active key", "only open routes serve the team"));
		}
	}

}
