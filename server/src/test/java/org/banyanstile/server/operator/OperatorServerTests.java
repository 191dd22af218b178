package org.banyanstile.server.operator;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Clock;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import org.banyanstile.config.FleetConfiguration;
import org.banyanstile.config.Limits;
import org.banyanstile.config.Region;
import org.banyanstile.config.api.BurnCause;
import org.banyanstile.config.api.BurnReport;
import org.banyanstile.config.api.VmStatus;
import org.banyanstile.config.json.ConfigurationJson;
import org.banyanstile.config.key.OperatorToken;
import org.banyanstile.core.burn.BurnCounters;
import org.banyanstile.core.burn.BurnKey;
import org.banyanstile.core.burn.Cause;
import org.banyanstile.core.common.DataCentreId;
import org.banyanstile.core.common.TeamId;
import org.banyanstile.core.common.Ticker;
import org.banyanstile.core.common.VmId;
import org.banyanstile.core.rollout.ConfigurationStore;
import org.banyanstile.io.http.HttpClient;
import org.banyanstile.io.http.HttpRequest;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.startsWith;

/**
 * Tests for {@link OperatorServer} and {@link RolloutService} over HTTP.
 *
 * @author banyanstile contributors
 */
class OperatorServerTests {

	private static final RolloutTimes TIMES = new RolloutTimes(Duration.ofMillis(200), Duration.ofMillis(100),
			Duration.ofMillis(5));

	private final FakeTableStore table = new FakeTableStore();

	private final FakeFleet fleet = new FakeFleet();

	private final PrometheusMeterRegistry registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);

	private final RolloutService service = RolloutService.create(VmId.of("a"),
			ConfigurationStore.create(this.table, this.table, this.table::nextId), this.fleet, (version, content) -> {
			}, Ticker.system(), TIMES);

	private HttpClient client;

	private OperatorServer server;

	@BeforeEach
	void start() {
		this.client = HttpClient.create(1);
		this.server = OperatorServer.start(new InetSocketAddress("127.0.0.1", 0), OperatorToken.hash("secret"),
				this.service,
				() -> new VmStatus("a", "lima-a", "live", true, "", 1, 5, 0, 1, 2, 3, 3, List.of("team/1")),
				() -> new BurnReport("a", 1, List.of()), this.registry);
	}

	@AfterEach
	void stop() {
		this.server.close();
		this.client.close();
	}

	private static String json(int limit) {
		return ConfigurationJson.write(FleetConfiguration.builder("d")
			.region(Region.of("r", "a"))
			.limits(Limits.of(limit, limit, limit))
			.build());
	}

	private String send(String method, String path, String token, Map<String, String> headers, String body)
			throws Exception {
		HttpRequest request = new HttpRequest(method, "127.0.0.1:" + this.server.port(), path, headers,
				body.getBytes(StandardCharsets.UTF_8), Duration.ofSeconds(5), false);
		try (var response = this.client
			.send((token != null) ? request.withHeader("Authorization", "Bearer " + token) : request)) {
			return response.status() + " " + response.text(100_000);
		}
	}

	private String get(String path) throws Exception {
		return send("GET", path, "secret", Map.of(), "");
	}

	private String put(String replaces, String body) throws Exception {
		return send("PUT", "/operator/v1/config", "secret", Map.of("If-Match", replaces), body);
	}

	@Test
	void eachRouteNeedsTheToken() throws Exception {
		for (String path : List.of("/operator/v1/config", "/operator/v1/config/status", "/operator/v1/status",
				"/operator/v1/burn", "/metrics", "/other")) {
			assertThat(send("GET", path, null, Map.of(), ""), startsWith("401 {\"type\":\"unauthorized\""));
			assertThat(send("GET", path, "Secret", Map.of(), ""), startsWith("401 "));
		}
		assertThat(send("PUT", "/operator/v1/config", "", Map.of("If-Match", "0"), json(1)), startsWith("401 "));
		assertThat(this.service.current().version(), is(0L));
	}

	@Test
	void readsStatusBurnAndMetrics() throws Exception {
		assertThat(get("/operator/v1/status"), startsWith("200 {\"vm\":\"a\",\"dataCentre\":\"lima-a\""));
		assertThat(get("/operator/v1/burn"), is("200 {\"vm\":\"a\",\"atMillis\":1,\"series\":[]}"));
		assertThat(get("/other"), startsWith("404 "));
		put("0", json(1));
		assertThat(get("/metrics"), containsString("banyanstile_operator_changes_total{result=\"accepted\"} 1.0"));
	}

	/**
	 * Guards against a window or cause of the counters that the operator interface lacks.
	 */
	@Test
	void burnCountersHaveAFormForEachWindowAndCause() {
		BurnCounters counters = BurnCounters.create(10);
		BurnKey key = new BurnKey(TeamId.of("t"), "draft-writer", DataCentreId.of("lima-a"));
		for (Cause cause : Cause.values()) {
			counters.bad(key, cause, 1);
		}
		counters.good(key, 1);
		BurnReport report = BurnCountersSource.create(VmId.of("a"), counters, () -> 2, Clock.systemUTC()).report();
		assertThat(report.series(), hasSize(4));
		assertThat(report.series().get(3).requests(), is(6L));
		assertThat(report.series().get(3).causes().keySet(), is(Set.of(BurnCause.values())));
	}

	@Test
	void acceptsAVersionThatAllAcknowledge() throws Exception {
		assertThat(get("/operator/v1/config/status"), containsString("\"state\":\"none\""));
		assertThat(put("0", json(1)), is("200 {\"result\":\"accepted\",\"version\":1}"));
		assertThat(put("\"1\"", json(2)), is("200 {\"result\":\"accepted\",\"version\":2}"));
		assertThat(get("/operator/v1/config"), containsString("{\"version\":2,\"configuration\":{\"formatVersion\":1"));
		assertThat(get("/operator/v1/config?version=1"), containsString("\"maxPromptTokens\":1,"));
		assertThat(get("/operator/v1/config?version=3"), startsWith("404 "));
		assertThat(get("/operator/v1/config/status"),
				is("200 {\"version\":2,\"state\":\"accepted\",\"registered\":3,\"acknowledged\":3,\"missing\":[]}"));
		assertThat(this.fleet.pushed(), is(List.of(1L, 2L)));
	}

	@Test
	void reportsStoredWhileAVmIsMissing() throws Exception {
		this.fleet.stopAcknowledging(VmId.of("c"));
		assertThat(put("0", json(1)), startsWith("202 {\"result\":\"stored\",\"version\":1"));
		assertThat(get("/operator/v1/config/status"), containsString("\"acknowledged\":2,\"missing\":[\"c\"]"));
	}

	@Test
	void conflictReplyListsTheDifferences() throws Exception {
		put("0", json(1));
		put("1", json(2));
		String reply = put("1", json(3));
		assertThat(reply, startsWith("409 {\"result\":\"conflict\",\"version\":2"));
		assertThat(reply, containsString(
				"{\"type\":\"changed\",\"path\":\"$.limits.maxPromptTokens\",\"before\":\"2\"," + "\"after\":\"3\"}"));
	}

	@Test
	void refusesInvalidRequests() throws Exception {
		assertThat(put("0", json(0)),
				containsString("422 {\"result\":\"invalid\",\"version\":0,\"problems\":[{\"file\":"
						+ "\"request body\",\"path\":\"$.limits."));
		assertThat(send("PUT", "/operator/v1/config", "secret", Map.of(), json(1)), startsWith("428 "));
		assertThat(put("latest", json(1)), startsWith("428 "));
		assertThat(get("/operator/v1/config?version=x"), startsWith("400 "));
	}

	/**
	 * Guards against "unavailable" for a version that was stored before its reply was
	 * lost.
	 */
	@Test
	void aLostReplyOfTheStoreIsResolved() throws Exception {
		this.table.loseReplies(1);
		assertThat(put("0", json(1)), is("200 {\"result\":\"accepted\",\"version\":1}"));
	}

	@Test
	void anUnresolvedReplyIsUnknown() throws Exception {
		this.table.loseReplies(Integer.MAX_VALUE);
		assertThat(put("0", json(1)), startsWith("504 {\"result\":\"unknown\",\"version\":1"));
	}

	@Test
	void aStoreThatIsDownIsUnavailable() throws Exception {
		this.table.setDown(true);
		assertThat(put("0", json(1)), startsWith("503 {\"result\":\"unavailable\",\"version\":0"));
		assertThat(get("/operator/v1/config?version=1"), startsWith("503 "));
	}

	@Test
	void anotherVmFetchesTheVersionItPolls() throws Exception {
		put("0", json(1));
		RolloutService other = RolloutService.create(VmId.of("b"),
				ConfigurationStore.create(this.table, this.table, this.table::nextId), this.fleet,
				(version, content) -> {
				}, Ticker.system(), TIMES);
		other.registered(Ticker.system().nanos());
		assertThat(other.isFresh(), is(false));
		other.poll();
		assertThat(other.current().version(), is(1L));
		assertThat(other.isFresh(), is(true));
		assertThat(other.received(1, json(9)), is(false));
	}

	/**
	 * Guards against a VM that starts during a store outage with the version of the first
	 * peer that responds, although more than half of the VMs may have a later one.
	 */
	@Test
	void aVmThatStartsDuringAnOutageAsksForTheHighestVersionOfAMajority() {
		this.fleet.stopAcknowledging(VmId.of("c"));
		this.fleet.push(1, "");
		List<VmId> asked = new ArrayList<>();
		PeerStart start = PeerStart.create(this.service, this.fleet, (vm) -> {
			asked.add(vm);
			return new PeerFetch.Fetched(asked.size(), json(asked.size()));
		});
		assertThat("one of three VMs has a version", start.run(), is(false));
		assertThat(asked, hasSize(0));
		this.fleet.setVersions(2, 1);
		assertThat("the peer answered with a lower version than it reported", start.run(), is(false));
		assertThat(start.run(), is(true));
		assertThat(asked, is(List.of(VmId.of("b"), VmId.of("b"))));
		assertThat(this.service.current().version(), is(2L));
	}

	/**
	 * Guards against limits or a reported version that revert to an older one when two
	 * threads apply a push and a fetch.
	 */
	@Test
	void theSinkSeesVersionsInRisingOrder() throws Exception {
		CountDownLatch entered = new CountDownLatch(1);
		CountDownLatch second = new CountDownLatch(1);
		List<Long> applied = Collections.synchronizedList(new ArrayList<>());
		RolloutService service = RolloutService.create(VmId.of("b"),
				ConfigurationStore.create(this.table, this.table, this.table::nextId), this.fleet,
				(version, content) -> {
					entered.countDown();
					if (version == 1) {
						awaitBriefly(second);
					}
					applied.add(version);
					second.countDown();
				}, Ticker.system(), TIMES);
		Thread slow = new Thread(() -> service.received(1, json(1)));
		slow.start();
		entered.await();
		service.received(2, json(2));
		slow.join();
		assertThat(applied, is(List.of(1L, 2L)));
	}

	private static void awaitBriefly(CountDownLatch latch) {
		try {
			var unused = latch.await(200, TimeUnit.MILLISECONDS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
