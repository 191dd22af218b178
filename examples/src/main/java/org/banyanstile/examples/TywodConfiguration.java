package org.banyanstile.examples;

import org.banyanstile.config.Endpoint;
import org.banyanstile.config.EndpointRole;
import org.banyanstile.config.FleetConfiguration;
import org.banyanstile.config.Limits;
import org.banyanstile.config.Region;
import org.banyanstile.config.Route;
import org.banyanstile.config.Team;

/**
 * Prints the configuration of Tywod, which summarises documents and books lorries for
 * franchisees that sell washed play sand.
 *
 * @author banyanstile contributors
 */
public final class TywodConfiguration {

	private static final String[] DATA_CENTRES = { "caerdydd", "abertawe", "wrecsam" };

	private static final int ENGINES = 6;

	/**
	 * One engine in each data centre prefills and one decodes, so that each data centre
	 * can serve on its own.
	 */
	private static final int PREFILL_ENGINES = 3;

	private static final int SERVICES = 3;

	private TywodConfiguration() {
	}

	/**
	 * Prints the configuration as JSON.
	 * @param args see {@link ExampleOptions}
	 */
	public static void main(String[] args) {
		System.exit(ExampleProgram.run("TywodConfiguration", create(), args, System.out, System.err));
	}

	/**
	 * Returns the configuration without keys.
	 * @return the configuration
	 */
	public static FleetConfiguration create() {
		FleetConfiguration.Builder builder = FleetConfiguration.builder("tywod")
			.region(Region.of("cymru", DATA_CENTRES))
			.limits(Limits.of(16_000, 1_000, 524_288));
		for (int i = 0; i < ENGINES; i++) {
			builder.endpoint(engine(i));
		}
		for (int i = 0; i < SERVICES; i++) {
			builder.endpoint(Endpoint.service("booking-" + (i + 1), "booking")
				.at(DATA_CENTRES[i], "10.20." + (i + 1) + ".201:9201")
				.slots(64)
				.build());
		}
		addRoutes(builder);
		addTeams(builder);
		return builder.build();
	}

	private static Endpoint engine(int index) {
		int dataCentre = index % DATA_CENTRES.length;
		EndpointRole role = (index < PREFILL_ENGINES) ? EndpointRole.PREFILL : EndpointRole.DECODE;
		return Endpoint.engine("summarising-" + (index + 1), "summarising", role)
			.at(DATA_CENTRES[dataCentre], "10.20." + (dataCentre + 1) + "." + (101 + index) + ":9101")
			.slots(20)
			.kvPieces(400)
			// The engines of wrecsam run an older release that ignores the fencing token.
			.checksFencing(dataCentre != 2)
			.build();
	}

	private static void addRoutes(FleetConfiguration.Builder builder) {
		builder.route(Route.once("booking", "POST", "/lorries"))
			.route(Route.once("booking", "POST", "/charges"))
			.route(Route.idempotent("booking", "GET", "/stock"))
			.route(Route.idempotent("booking", "GET", "/slots"))
			.route(Route.idempotent("booking", "GET", "/opening-hours").withoutKey());
	}

	private static void addTeams(FleetConfiguration.Builder builder) {
		// Two teams are large. Each burst holds the largest request of 17,000 tokens.
		builder.team(Team.builder("caerdydd-canol").weight(4).rate(3_000, 34_000).build())
			.team(Team.builder("bae-abertawe").weight(3).rate(2_500, 34_000).build())
			.team(Team.builder("wrecsam-gogledd").rate(1_000, 17_000).build())
			.team(Team.builder("mon-ac-arfon").rate(1_000, 17_000).build())
			.team(Team.builder("ceredigion").rate(1_000, 17_000).build());
	}

}
