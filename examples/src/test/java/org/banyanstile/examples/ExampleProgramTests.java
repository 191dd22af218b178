package org.banyanstile.examples;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.util.List;

import org.banyanstile.config.Endpoint;
import org.banyanstile.config.EndpointKind;
import org.banyanstile.config.FleetConfiguration;
import org.banyanstile.config.json.ConfigurationJson;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

/**
 * Tests for the example programs.
 *
 * @author banyanstile contributors
 */
class ExampleProgramTests {

	private final ByteArrayOutputStream out = new ByteArrayOutputStream();

	private final ByteArrayOutputStream err = new ByteArrayOutputStream();

	private int run(FleetConfiguration configuration, String... args) {
		return ExampleProgram.run("example", configuration, args, new PrintStream(this.out), new PrintStream(this.err));
	}

	private static long count(FleetConfiguration configuration, EndpointKind kind) {
		return configuration.endpoints().stream().filter((endpoint) -> endpoint.kind() == kind).count();
	}

	@Test
	void printsBothDeploymentsAtTheirSizes() throws Exception {
		for (FleetConfiguration each : List.of(OrderDeskConfiguration.create(), TywodConfiguration.create())) {
			this.out.reset();
			assertThat(this.err.toString(), run(each), is(0));
			assertThat(ConfigurationJson.readConfiguration("out", this.out.toString()), is(equalTo(each)));
			assertThat(each.teams(), hasSize(5));
			assertThat(each.dataCentres(), hasSize(3));
			assertThat(count(each, EndpointKind.SERVICE), is(3L));
		}
		assertThat(count(OrderDeskConfiguration.create(), EndpointKind.ENGINE), is(13L));
		assertThat(count(TywodConfiguration.create(), EndpointKind.ENGINE), is(6L));
	}

	@Test
	void optionsReplaceAddressesAndAddKeys() throws Exception {
		int code = run(TywodConfiguration.create(), "--only", "summarising-1,booking-1", "--endpoint",
				"booking-1=127.0.0.1:9201", "--key", "ceredigion=k1:" + "00".repeat(16) + ":" + "ab".repeat(32));
		assertThat(this.err.toString(), code, is(0));
		FleetConfiguration read = ConfigurationJson.readConfiguration("out", this.out.toString());
		assertThat(read.endpoints().stream().map(Endpoint::name).toList(), contains("summarising-1", "booking-1"));
		assertThat(read.endpoint("booking-1").orElseThrow().address(), is("127.0.0.1:9201"));
		assertThat(read.team("ceredigion").orElseThrow().keys().get(0).id(), is("k1"));
	}

	@Test
	void anUnknownNameIsAUsageError() {
		assertThat(run(TywodConfiguration.create(), "--endpoint", "none=127.0.0.1:1"), is(2));
		assertThat(this.err.toString(), containsString("no endpoint none"));
		assertThat(run(TywodConfiguration.create(), "--key", "none=a:b:c"), is(2));
		assertThat(run(TywodConfiguration.create(), "--unknown"), is(2));
	}

}
