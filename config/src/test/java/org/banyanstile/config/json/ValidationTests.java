package org.banyanstile.config.json;

import java.util.List;

import org.banyanstile.config.Endpoint;
import org.banyanstile.config.FleetConfiguration;
import org.banyanstile.config.Limits;
import org.banyanstile.config.Region;
import org.banyanstile.config.Route;
import org.banyanstile.config.Team;
import org.banyanstile.config.TeamKey;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;
import static org.junit.jupiter.api.Assertions.assertThrows;

/**
 * Tests for the checks of {@link ConfigurationJson}: each problem contains the file, the
 * path, the value and what is allowed.
 *
 * @author banyanstile contributors
 */
class ValidationTests {

	private static final String JSON = ConfigurationJson.write(FleetConfiguration.builder("d")
		.region(Region.of("r", "lima-a"))
		.endpoint(Endpoint.service("s-1", "s").at("lima-a", "127.0.0.1:9201").slots(64).build())
		.route(Route.once("s", "POST", "/orders"))
		.team(Team.builder("t").rate(10, 40).key(TeamKey.active("k1", "0f".repeat(16), "ab".repeat(32))).build())
		.limits(Limits.of(32, 4, 1000))
		.build());

	private static final String SETTINGS = """
			{"vm":"v","dataCentre":"a","callerAddress":"127.0.0.1:1","operatorAddress":"127.0.0.1:2",
			"vmAddress":"127.0.0.1:3","tableService":"http://127.0.0.1:4","vmList":"http://127.0.0.1:4",
			"seedVms":["127.0.0.1:3"],"fleetKey":"KEY","operatorTokenHash":"KEY","vmSlots":16,"workers":64}"""
		.replace("KEY", "ab".repeat(32));

	private static List<Problem> problems(String json) {
		return assertThrows(ConfigurationException.class, () -> ConfigurationJson.readConfiguration("f.json", json))
			.problems();
	}

	@ParameterizedTest
	@CsvSource(quoteCharacter = '`', delimiter = '|',
			textBlock = """
					"weight":1            | "weight":0               | $.teams[0].weight       | 0            | must be an integer from 1 to 10000
					"weight":1            | "weight":"1"             | $.teams[0].weight       | "1"          | must be an integer from 1 to 10000
					"weight":1,           |                          | $.teams[0].weight       | missing      | required
					"weight":1            | "weight":1,"wieght":2    | $.teams[0].wieght       | unknown key  | allowed keys are [name, weight,
					"formatVersion":1     | "formatVersion":2        | $.formatVersion         | 2            | must be 1
					"POST"                | "PUT"                    | $.routes[0].method      | "PUT"        | must be "GET" or "POST"
					"kind":"service"      | "kind":"engine"          | $.endpoints[0].role     | missing      | an engine requires a role
					"dataCentre":"lima-a" | "dataCentre":"lima-x"    | $.endpoints[0].dataCentre | "lima-x"   | must be a data centre of $.regions: [lima-a]
					127.0.0.1:9201        | 127.0.0.256:9201         | $.endpoints[0].address  | "127.0.0.256:9201" | must be an IP address and a port
					127.0.0.1:9201        | localhost:9201           | $.endpoints[0].address  | "localhost:9201" | must be an IP address and a port
					127.0.0.1:9201        | 127.0.0.1:65536          | $.endpoints[0].address  | "127.0.0.1:65536" | must be an IP address and a port
					"limits":{            | "limits":{"x":{},        | $.limits.x              | unknown key  | allowed keys are [maxPromptTokens
					"teams":[             | "teams":["t",            | $.teams[0]              | "t"          | must be an object
					""")
	void eachProblemNamesPathValueAndWhatIsAllowed(String before, String after, String path, String value,
			String allowed) {
		Problem problem = problems(JSON.replace(before, (after != null) ? after : "")).get(0);
		assertThat(problem.file(), is("f.json"));
		assertThat(problem.path(), is(path));
		assertThat(problem.value(), is(value));
		assertThat(problem.allowed(), containsString(allowed));
	}

	@Test
	void namesAndKeyIdsAreUnique() {
		String twice = JSON.replace("\"teams\":[",
				"\"teams\":[{\"name\":\"u\",\"weight\":1,\"tokensPerSecond\":1,\"burstTokens\":1,"
						+ "\"keys\":[{\"id\":\"k1\",\"salt\":\"" + "00".repeat(16) + "\",\"hash\":\"" + "00".repeat(32)
						+ "\",\"state\":\"active\"}]},");
		assertThat(problems(twice), hasSize(1));
		assertThat(problems(twice).get(0).path(), is("$.teams[1].keys[0].id"));
		assertThat(problems(twice.replace("\"u\"", "\"t\"")), hasSize(2));
	}

	@Test
	void secretsAreNotQuoted() {
		String message = problems(JSON.replace("abab", "abXb")).get(0).toString();
		assertThat(message, containsString("$.teams[0].keys[0].hash: ***: must be 32 bytes"));
		assertThat(message, not(containsString("abXb")));
	}

	@ParameterizedTest
	@ValueSource(strings = { "", "{", "[]", "null", "{\"a\":1,\"a\":2}" })
	void textThatIsNoConfigurationIsAProblem(String json) {
		assertThat(problems(json).get(0).path().startsWith("$"), is(true));
	}

	@Test
	void trailingTextIsAProblem() {
		assertThat(problems(JSON + "{}"), hasSize(1));
	}

	@Test
	void warnsOfABurstBelowTheLargestRequest() throws Exception {
		String json = JSON.replace("\"burstTokens\":40", "\"burstTokens\":35");
		assertThat(ConfigurationWarnings.of("f", ConfigurationJson.readConfiguration("f", JSON)), hasSize(0));
		List<Problem> warnings = ConfigurationWarnings.of("f", ConfigurationJson.readConfiguration("f", json));
		assertThat(warnings, hasSize(1));
		assertThat(warnings.get(0).toString(), containsString("$.teams[0].burstTokens: 35: should be at least"));
	}

	@Test
	void settingsAreReadAndChecked() throws Exception {
		assertThat(ConfigurationJson.readSettings("s", SETTINGS).vmSlots(), is(16));
		for (String wrong : List.of(SETTINGS.replace("127.0.0.1:2", "127.0.0.1:1"),
				SETTINGS.replace("\"vmList\":\"http", "\"vmList\":\"https"), SETTINGS.replace("\"vmSlots\":16,", ""))) {
			ConfigurationException ex = assertThrows(ConfigurationException.class,
					() -> ConfigurationJson.readSettings("s", wrong));
			assertThat(ex.problems(), hasSize(1));
			assertThat(ex.getMessage(), not(containsString("abab")));
		}
	}

}
