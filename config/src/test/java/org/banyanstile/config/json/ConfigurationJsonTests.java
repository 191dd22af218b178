package org.banyanstile.config.json;

import org.banyanstile.config.Endpoint;
import org.banyanstile.config.EndpointRole;
import org.banyanstile.config.FleetConfiguration;
import org.banyanstile.config.Limits;
import org.banyanstile.config.Region;
import org.banyanstile.config.Route;
import org.banyanstile.config.Team;
import org.banyanstile.config.TeamKey;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

/**
 * Tests for {@link ConfigurationJson}.
 *
 * @author banyanstile contributors
 */
class ConfigurationJsonTests {

	private static final FleetConfiguration SMALL = FleetConfiguration.builder("order-desk")
		.region(Region.of("lima-region", "lima-a"))
		.endpoint(Endpoint.engine("draft-writer-01", "draft-writer", EndpointRole.PREFILL)
			.at("lima-a", "127.0.0.1:9101")
			.slots(20)
			.kvPieces(400)
			.checksFencing(true)
			.build())
		.endpoint(Endpoint.service("order-desk-1", "order-desk").at("lima-a", "127.0.0.1:9201").slots(64).build())
		.route(Route.once("order-desk", "POST", "/orders"))
		.team(Team.builder("distribuidora-1")
			.rate(2000, 40000)
			.key(TeamKey.active("k1", "00".repeat(16), "ab".repeat(32)))
			.build())
		.limits(Limits.of(32000, 4000, 1048576))
		.build();

	@Test
	void readsWhatItWrites() throws Exception {
		String json = ConfigurationJson.writeIndented(SMALL);
		assertThat(ConfigurationJson.readConfiguration("small.json", json), is(equalTo(SMALL)));
		assertThat(ConfigurationJson.readConfiguration("small.json", ConfigurationJson.write(SMALL)),
				is(equalTo(SMALL)));
	}

	@Test
	void writesTheFormOfTheDesignPage() {
		String json = ConfigurationJson.write(SMALL);
		assertThat(json, containsString("\"kind\":\"engine\",\"role\":\"prefill\",\"serves\":\"draft-writer\""));
		assertThat(json,
				containsString("\"kind\":\"service\",\"serves\":\"order-desk\",\"slots\":64,\"checksFencing\""));
	}

	@Test
	void hashAndSaltAreNotInTheText() {
		assertThat(SMALL.toString(), not(containsString("abab")));
		assertThat(SMALL.toString(), not(containsString("0000000")));
	}

}
