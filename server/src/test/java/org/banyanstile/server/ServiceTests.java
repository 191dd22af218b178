package org.banyanstile.server;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;

import io.undertow.Undertow;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.handlers.BlockingHandler;
import io.undertow.util.HttpString;
import org.banyanstile.io.http.HttpRequest;
import org.banyanstile.io.http.HttpResponse;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.hasEntry;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

/**
 * Tests for calls of plain services through a whole VM.
 *
 * @author banyanstile contributors
 */
class ServiceTests {

	private final Queue<String> received = new ConcurrentLinkedQueue<>();

	private volatile HttpHandler behaviour = (exchange) -> exchange.setStatusCode(201);

	private final Undertow service = Undertow.builder()
		.addHttpListener(0, "127.0.0.1", new BlockingHandler(this::handle))
		.build();

	private TestVm vm;

	@BeforeEach
	void start() {
		this.service.start();
		this.vm = new TestVm(TestVm.service("s-1", address()));
	}

	@AfterEach
	void close() {
		this.vm.close();
		this.service.stop();
	}

	private String address() {
		return "127.0.0.1:" + ((InetSocketAddress) this.service.getListenerInfo().get(0).getAddress()).getPort();
	}

	private void handle(HttpServerExchange exchange) throws Exception {
		String body = new String(exchange.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
		this.received
			.add(exchange.getRequestURI() + "?" + exchange.getQueryString() + exchange.getRequestHeaders() + body);
		this.behaviour.handleRequest(exchange);
	}

	private HttpRequest order(String key) {
		return HttpRequest.postJson(this.vm.address(), "/v1/services/orders/orders", "{\"panel\":1}")
			.withHeader("Authorization", "Bearer " + TestVm.KEY.text())
			.withHeader("Idempotency-Key", key);
	}

	@Test
	void runsAnOrderOnceAndRepeatsItsAnswer() throws Exception {
		for (int i = 0; i < 3; i++) {
			assertThat(this.vm.send(order("a")).status(), is(201));
		}
		assertThat(this.received, hasSize(1));
		HttpRequest other = HttpRequest.postJson(this.vm.address(), "/v1/services/orders/orders", "{\"panel\":2}")
			.withHeader("Authorization", "Bearer " + TestVm.KEY.text())
			.withHeader("Idempotency-Key", "a");
		assertThat(this.vm.send(other).status(), is(422));
	}

	@Test
	void requiresAnIdempotencyKeyForAnOrder() throws Exception {
		HttpRequest request = HttpRequest.postJson(this.vm.address(), "/v1/services/orders/orders", "{}")
			.withHeader("Authorization", "Bearer " + TestVm.KEY.text());
		assertThat(this.vm.send(request).status(), is(400));
	}

	/**
	 * Guards against a "not run" refusal of an order that may have run, and against a
	 * second run after it.
	 */
	@Test
	void reportsAnUnknownOutcomeWhenTheConnectionBreaks() throws Exception {
		this.behaviour = (exchange) -> exchange.getConnection().close();
		for (int i = 0; i < 2; i++) {
			HttpResponse response = this.vm.send(order("b"));
			assertThat(response.status(), is(504));
			assertThat(response.text(1000), containsString("\"run\":\"unknown\""));
		}
		assertThat(this.received, hasSize(1));
	}

	@Test
	void reportsNotRunWhenTheConnectionIsRefused() throws Exception {
		this.service.stop();
		HttpResponse response = this.vm.send(order("c"));
		assertThat(response.status(), is(503));
		assertThat(response.text(1000), containsString("\"run\":\"not_run\""));
	}

	@Test
	void passesTheStatusOfARefusalOn() throws Exception {
		this.behaviour = (exchange) -> exchange.setStatusCode(409);
		HttpResponse response = this.vm.send(order("d"));
		assertThat(response.status(), is(409));
		assertThat(response.text(1000), containsString("\"run\":\"refused_by_endpoint\""));
	}

	@Test
	void retriesALookup() throws Exception {
		AtomicInteger calls = new AtomicInteger();
		this.vm.close();
		this.vm = new TestVm(TestVm.service("s-1", "127.0.0.1:1"), TestVm.service("s-2", address()));
		this.behaviour = (exchange) -> calls.incrementAndGet();
		assertThat(this.vm.send(lookup("")).status(), is(200));
		assertThat(calls.get(), is(1));
	}

	/**
	 * Guards against a "not run" refusal of a call that the first endpoint may have run.
	 */
	@Test
	void doesNotClaimThatALookupDidNotRun() throws Exception {
		this.vm.close();
		this.vm = new TestVm(TestVm.service("s-1", address()), TestVm.service("s-2", "127.0.0.1:1"));
		this.behaviour = (exchange) -> exchange.getConnection().close();
		String text = this.vm.send(lookup("")).text(1000);
		assertThat(this.received, hasSize(1));
		assertThat(text, containsString("\"run\":\"unknown\""));
	}

	/**
	 * Guards against the refusal of a call that another endpoint may have run.
	 */
	@Test
	void refusalAfterABrokenConnectionDoesNotClaimThatALookupWasRefused() throws Exception {
		this.vm.close();
		this.vm = new TestVm(TestVm.service("s-1", address()), TestVm.service("s-2", address()));
		this.behaviour = (exchange) -> {
			if (this.received.size() == 1) {
				exchange.getConnection().close();
			}
			exchange.setStatusCode(503);
		};
		String text = this.vm.send(lookup("")).text(1000);
		assertThat(this.received, hasSize(2));
		assertThat(text, containsString("\"run\":\"unknown\""));
	}

	@Test
	void serverErrorDoesNotClaimThatALookupDidNotRun() throws Exception {
		this.behaviour = (exchange) -> exchange.setStatusCode(500);
		assertThat(this.vm.send(lookup("")).text(1000), containsString("\"run\":\"unknown\""));
	}

	@ParameterizedTest
	@ValueSource(ints = { 201, 409, 503 })
	void responseToAnotherRequestLeavesTheOutcomeOfAnOrderUnknown(int status) throws Exception {
		this.behaviour = (exchange) -> {
			exchange.getResponseHeaders().put(new HttpString("X-Request-Id"), "another");
			exchange.setStatusCode(status);
		};
		HttpResponse response = this.vm.send(order("f"));
		assertThat(response.status(), is(504));
		assertThat(response.text(1000), containsString("\"run\":\"unknown\""));
		assertThat(this.vm.send(order("f")).status(), is(504));
		assertThat(this.received, hasSize(1));
	}

	@Test
	void responseWithTheIdOfItsRequestIsAccepted() throws Exception {
		this.behaviour = (exchange) -> exchange.getResponseHeaders()
			.put(new HttpString("X-Request-Id"), exchange.getRequestHeaders().getFirst("X-Request-Id"));
		assertThat(this.vm.send(order("g")).status(), is(200));
	}

	/**
	 * Guards against a refusal of an order that ran, and against a second run of it.
	 */
	@ParameterizedTest
	@ValueSource(strings = { "421 Misdirected Request", "429 Too Many Requests", "503 Service Unavailable" })
	void lateCopyOfARefusalIsNotTheRefusalOfAnotherCall(String refusal) throws Exception {
		try (LateCopyServer copying = LateCopyServer.start((request) -> request.contains("refused")
				? LateCopyServer.response(refusal, "") : LateCopyServer.response("200 OK", "ran"))) {
			this.vm.close();
			this.vm = new TestVm(TestVm.service("s-1", copying.address()), TestVm.service("s-2", copying.address()));
			this.vm.send(order("h").withHeader("Accept-Language", "refused")).close();
			this.vm.send(lookup("?refused")).close();
			int before = copying.received.size();
			assertThat(this.vm.send(order("i")).text(1000), is("ran"));
			assertThat(this.vm.send(lookup("")).text(1000), is("ran"));
			assertThat(copying.received, hasSize(before + 2));
			assertThat("connections are closed", LateCopyServer.awaitNoConnection(copying), is(true));
		}
	}

	@ParameterizedTest
	@ValueSource(booleans = { false, true })
	void resetLeavesTheOutcomeOfAnOrderUnknown(boolean partOfTheResponse) throws Exception {
		String head = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 9\r\nConnection: close\r\n\r\n";
		try (LateCopyServer resetting = LateCopyServer.start((request) -> partOfTheResponse ? head : null)) {
			this.vm.close();
			this.vm = new TestVm(TestVm.service("s-1", resetting.address()),
					TestVm.service("s-2", resetting.address()));
			String text = this.vm.send(order("j").withHeader("X-Deadline-Ms", "1000")).text(1000);
			assertThat(text, containsString("\"run\":\"unknown\""));
			assertThat(resetting.received, hasSize(1));
		}
	}

	@Test
	void resendOfALookupIsLoggedWithBothEndpointsAndWhetherItMayHaveRun() throws Exception {
		this.vm.close();
		this.vm = new TestVm(TestVm.service("s-1", address()), TestVm.service("s-2", address()));
		this.behaviour = (exchange) -> {
			if (this.received.size() == 1) {
				exchange.getConnection().close();
			}
		};
		try (ResendLines log = new ResendLines()) {
			assertThat(this.vm.send(lookup("")).status(), is(200));
			assertThat(log.lines, hasSize(1));
			Map<String, String> line = log.lines.get(0);
			assertThat(Set.of(line.get("from"), line.get("to")), is(Set.of("s-1", "s-2")));
			assertThat(line, hasEntry("proof", "none, it may have run: no complete response from the service"));
			assertThat(line, hasEntry("repeatable", "true"));
			assertThat(this.received, everyItem(containsString(line.get("request"))));
		}
	}

	@Test
	void resendOfAnOrderIsLoggedWithTheProofThatItDidNotRun() throws Exception {
		this.vm.close();
		this.vm = new TestVm(TestVm.service("s-1", "127.0.0.1:1"), TestVm.service("s-2", address()));
		try (ResendLines log = new ResendLines()) {
			for (int i = 0; i < 4; i++) {
				assertThat(this.vm.send(order("k" + i)).status(), is(201));
			}
			assertThat(log.lines, not(empty()));
			assertThat(log.lines, everyItem(hasEntry("from", "s-1")));
			assertThat(log.lines, everyItem(hasEntry("to", "s-2")));
			assertThat(log.lines, everyItem(hasEntry("proof", "service cannot be reached")));
			assertThat(log.lines, everyItem(hasEntry("repeatable", "false")));
		}
		assertThat(this.received, hasSize(4));
	}

	/**
	 * Guards against an endpoint that receives a caller's key in a header or the query.
	 */
	@Test
	void serviceNeverSeesTheKey() throws Exception {
		this.vm.send(lookup("?item=1&k=" + TestVm.KEY.text() + "&s=" + TestVm.KEY.secret())
			.withHeader("Accept-Language", TestVm.KEY.text())).close();
		this.vm.send(order("e")).close();
		assertThat(this.received, hasSize(2));
		assertThat(this.received, everyItem(not(containsString(TestVm.KEY.secret()))));
		assertThat(this.received, everyItem(not(containsString("Bearer"))));
		assertThat(this.received.peek(), containsString("?item=1{"));
	}

	private HttpRequest lookup(String query) {
		return HttpRequest.get(this.vm.address(), "/v1/services/orders/stock" + query)
			.withHeader("Authorization", "Bearer " + TestVm.KEY.text());
	}

}
