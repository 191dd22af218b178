package org.banyanstile.examples;

import org.banyanstile.config.Endpoint;
import org.banyanstile.config.EndpointRole;
import org.banyanstile.config.FleetConfiguration;
import org.banyanstile.config.Limits;
import org.banyanstile.config.Region;
import org.banyanstile.config.Route;
import org.banyanstile.config.Team;

/**
 * Prints the configuration of Order Desk, which drafts quotations and takes orders for
 * distributors and installers of radiator reflector panels.
 *
 * @author banyanstile contributors
 */
public final class OrderDeskConfiguration {

	private static final String[] DATA_CENTRES = { "lima-a", "lima-b", "lima-c" };

	private static final int ENGINES = 13;

	/**
	 * The first four engines prefill, at least one in each data centre, so that each data
	 * centre can serve on its own. Drafts are long, so most engines decode.
	 */
	private static final int PREFILL_ENGINES = 4;

	private static final int SERVICES = 3;

	private OrderDeskConfiguration() {
	}

	/**
	 * Prints the configuration as JSON.
	 * @param args see {@link ExampleOptions}
	 */
	public static void main(String[] args) {
		System.exit(ExampleProgram.run("OrderDeskConfiguration", create(), args, System.out, System.err));
	}

	/**
	 * Returns the configuration without keys.
	 * @return the configuration
	 */
	public static FleetConfiguration create() {
		FleetConfiguration.Builder builder = FleetConfiguration.builder("order-desk")
			.region(Region.of("lima-region", DATA_CENTRES))
			.limits(Limits.of(32_000, 4_000, 1_048_576));
		for (int i = 0; i < ENGINES; i++) {
			builder.endpoint(engine(i));
		}
		for (int i = 0; i < SERVICES; i++) {
			builder.endpoint(Endpoint.service("order-desk-" + (i + 1), "order-desk")
				.at(DATA_CENTRES[i], "10.10." + (i + 1) + ".201:9201")
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
		return Endpoint.engine(String.format("draft-writer-%02d", index + 1), "draft-writer", role)
			.at(DATA_CENTRES[dataCentre], "10.10." + (dataCentre + 1) + "." + (101 + index) + ":9101")
			.slots(20)
			.kvPieces(400)
			// The engines of lima-c run an older release that ignores the fencing token.
			.checksFencing(dataCentre != 2)
			.build();
	}

	private static void addRoutes(FleetConfiguration.Builder builder) {
		builder.route(Route.once("order-desk", "POST", "/orders"))
			.route(Route.idempotent("order-desk", "GET", "/orders"))
			.route(Route.idempotent("order-desk", "GET", "/stock"))
			.route(Route.idempotent("order-desk", "GET", "/catalogue").withoutKey());
	}

	private static void addTeams(FleetConfiguration.Builder builder) {
		// Two teams are large. Each burst holds the largest request of 36,000 tokens.
		builder.team(Team.builder("distribuidora-lima").weight(4).rate(5_000, 72_000).build())
			.team(Team.builder("distribuidora-norte").weight(3).rate(4_000, 72_000).build())
			.team(Team.builder("instaladores-sur").rate(1_500, 36_000).build())
			.team(Team.builder("instaladores-cusco").rate(1_500, 36_000).build())
			.team(Team.builder("taller-callao").rate(1_500, 36_000).build());
	}

}
