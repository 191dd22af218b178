package org.banyanstile.server;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicBoolean;

import io.undertow.server.HttpServerExchange;
import org.banyanstile.config.Endpoint;
import org.banyanstile.config.EndpointRole;
import org.banyanstile.io.http.HttpException;
import org.banyanstile.io.http.HttpRequest;
import org.banyanstile.io.http.HttpResponse;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.allOf;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.hasEntry;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

/**
 * Tests for requests for generated text through a whole VM.
 *
 * @author banyanstile contributors
 */
class ChatTests {

	private static final long PAUSE_MILLIS = 400;

	private final FakeEngine prefill = FakeEngine.start();

	private final FakeEngine decode = FakeEngine.start();

	private final Endpoint[] endpoints = { TestVm.engine("p-1", EndpointRole.PREFILL, this.prefill.address()),
			TestVm.engine("d-1", EndpointRole.DECODE, this.decode.address()) };

	private TestVm vm = new TestVm(this.endpoints);

	@AfterEach
	void close() {
		this.vm.close();
		this.decode.close();
		this.prefill.close();
	}

	private String stream(HttpRequest request) throws HttpException {
		try (HttpResponse response = this.vm.send(request)) {
			return TestVm.events(response);
		}
	}

	@Test
	void streamsTheWholeAnswer() throws Exception {
		assertThat(stream(this.vm.chat(true)), is("w0 w1 w2 w3 w4 DONE"));
	}

	@Test
	void answersWithoutStream() throws Exception {
		String text = this.vm.send(this.vm.chat(false)).text(10_000);
		assertThat(text, containsString("\"content\":\"w0 w1 w2 w3 w4 \""));
	}

	/**
	 * Guards against a response with missing text after a lost chunk.
	 */
	@Test
	void resumesAtTheExactOffsetAfterAGap() throws Exception {
		this.decode.decode = (exchange, id, from) -> {
			if (from == 0) {
				FakeEngine.word(exchange, id, 0);
				FakeEngine.word(exchange, id, 1);
				FakeEngine.word(exchange, id, 3);
			}
			this.decode.answer(exchange, id, from);
		};
		assertThat(stream(this.vm.chat(true)), is("w0 w1 w2 w3 w4 DONE"));
		assertThat(this.decode.opened, contains(0L, 2L));
	}

	/**
	 * Guards against text of another request in a response.
	 */
	@Test
	void resumesAtTheExactOffsetAfterAChunkOfAnotherRequest() throws Exception {
		this.decode.decode = (exchange, id, from) -> {
			if (from == 0) {
				FakeEngine.word(exchange, id, 0);
				FakeEngine.word(exchange, "other", 1);
			}
			this.decode.answer(exchange, id, from);
		};
		assertThat(stream(this.vm.chat(true)), is("w0 w1 w2 w3 w4 DONE"));
		assertThat(this.decode.opened, contains(0L, 1L));
	}

	@Test
	void resumesAfterABrokenConnection() throws Exception {
		this.decode.decode = (exchange, id, from) -> {
			if (from == 0) {
				FakeEngine.word(exchange, id, 0);
				exchange.getConnection().close();
				return;
			}
			this.decode.answer(exchange, id, from);
		};
		assertThat(stream(this.vm.chat(true)), is("w0 w1 w2 w3 w4 DONE"));
	}

	/**
	 * Guards against engine memory that stays reserved after a disconnect while the
	 * engine is silent.
	 */
	@Test
	void cancelsWithinASecondOfADisconnectOfAStream() throws Exception {
		cancelsAfterDisconnect(true, 1);
	}

	@Test
	void cancelsWithinASecondOfADisconnectWithoutStream() throws Exception {
		cancelsAfterDisconnect(false, 1);
	}

	@Test
	void cancelsWithinASecondOfADisconnectBehindAPipelinedRequest() throws Exception {
		cancelsAfterDisconnect(false, 2);
	}

	private void cancelsAfterDisconnect(boolean stream, int requests) throws Exception {
		this.decode.decode = (exchange, id, from) -> {
			FakeEngine.word(exchange, id, 0);
			this.decode.silence();
		};
		HttpRequest request = this.vm.chat(stream);
		try (Socket socket = new Socket("127.0.0.1", Integer.parseInt(this.vm.address().split(":")[1]))) {
			String head = "POST " + request.path() + " HTTP/1.1\r\nHost: x\r\nAuthorization: "
					+ request.headers().get("Authorization") + "\r\nContent-Length: " + request.body().length
					+ "\r\n\r\n";
			for (int i = 0; i < requests; i++) {
				socket.getOutputStream().write(head.getBytes(StandardCharsets.UTF_8));
				socket.getOutputStream().write(request.body());
				assertThat(TestVm.await(3000, () -> !this.decode.opened.isEmpty()), is(true));
			}
			// Longer than the interval of the poll, so that it has read the last request.
			Thread.sleep(PAUSE_MILLIS);
		}
		assertThat(TestVm.await(1000, () -> !this.decode.cancelled.isEmpty()), is(true));
	}

	@Test
	void writesKeepAlivesWhileTheEngineIsSilent() throws Exception {
		this.decode.decode = (exchange, id, from) -> this.decode.silence();
		try (HttpResponse response = this.vm.send(this.vm.chat(true))) {
			assertThat(response.line(100), is(": keep-alive"));
		}
	}

	/**
	 * Guards against a withdrawn key that keeps a stream running.
	 */
	@Test
	void endsAStreamWhoseKeyIsWithdrawn() throws Exception {
		this.decode.decode = (exchange, id, from) -> {
			FakeEngine.word(exchange, id, 0);
			this.decode.silence();
		};
		try (HttpResponse response = this.vm.send(this.vm.chat(true))) {
			this.vm.withdrawKey(this.endpoints);
			assertThat(TestVm.events(response), is("w0 unauthorized"));
		}
		assertThat(TestVm.await(2000, () -> !this.decode.cancelled.isEmpty()), is(true));
		assertThat(this.vm.send(this.vm.chat(true)).status(), is(401));
	}

	@Test
	void refusesAWrongKeyAndALargeBody() throws Exception {
		HttpRequest wrong = this.vm.chat(true).withHeader("Authorization", "Bearer " + TestVm.KEY.text() + "0");
		HttpResponse response = this.vm.send(wrong);
		assertThat(response.status(), is(401));
		assertThat(response.text(1000), containsString("\"type\":\"unauthorized\""));
		HttpRequest large = HttpRequest.postJson(this.vm.address(), "/v1/chat/completions", "x".repeat(2001))
			.withHeader("Authorization", "Bearer " + TestVm.KEY.text());
		assertThat(this.vm.send(large).status(), is(413));
	}

	/**
	 * Guards against an endpoint that receives a caller's key.
	 */
	@Test
	void engineNeverSeesTheKey() throws Exception {
		stream(this.vm.chat(true));
		HttpRequest inBody = HttpRequest
			.postJson(this.vm.address(), "/v1/chat/completions",
					new String(this.vm.chat(true).body(), StandardCharsets.UTF_8).replace("one", TestVm.KEY.text()))
			.withHeader("Authorization", "Bearer " + TestVm.KEY.text());
		assertThat(this.vm.send(inBody).status(), is(400));
		assertThat(this.prefill.received, everyItem(not(containsString(TestVm.KEY.secret()))));
		assertThat(this.decode.received, everyItem(not(containsString(TestVm.KEY.secret()))));
	}

	/**
	 * Guards against two responses to one request, and against a response that mixes the
	 * text of two runs.
	 */
	@Test
	void repeatTakesTheStreamOver() throws Exception {
		CountDownLatch released = new CountDownLatch(1);
		this.decode.decode = (exchange, id, from) -> {
			FakeEngine.word(exchange, id, 0);
			FakeEngine.word(exchange, id, 1);
			if (this.decode.opened.size() == 1) {
				released.await();
			}
			this.decode.answer(exchange, id, 2);
		};
		HttpRequest request = this.vm.chat(true).withHeader("Idempotency-Key", "a");
		try (HttpResponse first = this.vm.send(request)) {
			assertThat(first.line(1000), is("id: 0"));
			String rest = stream(request.withHeader("Last-Event-ID", "0"));
			assertThat(rest, is("w1 w2 w3 w4 DONE"));
			assertThat(TestVm.events(first), is("w0 w1 superseded"));
		}
		finally {
			released.countDown();
		}
		assertThat(this.decode.cancelled, is(empty()));
		assertThat(stream(request), is("w0 w1 w2 w3 w4 DONE"));
		assertThat(this.decode.opened, contains(0L, 0L));
	}

	/**
	 * Guards against a "not run" refusal of a request that the engine may have started.
	 */
	@Test
	void refusalAfterABrokenDecodeDoesNotClaimThatTheRequestDidNotRun() throws Exception {
		this.decode.decode = (exchange, id, from) -> {
			if (this.decode.opened.size() == 1) {
				exchange.getConnection().close();
				return;
			}
			refuse(exchange, 503);
		};
		assertThat(this.vm.send(this.vm.chat(false)).text(1000), containsString("\"run\":\"unknown\""));
	}

	@Test
	void serverErrorOfAnEngineDoesNotClaimThatTheRequestDidNotRun() throws Exception {
		this.decode.decode = (exchange, id, from) -> refuse(exchange, 500);
		assertThat(this.vm.send(this.vm.chat(false)).text(1000), containsString("\"run\":\"unknown\""));
	}

	@Test
	void refusalByAllEnginesSaysThatTheRequestDidNotRun() throws Exception {
		this.decode.decode = (exchange, id, from) -> refuse(exchange, 503);
		assertThat(this.vm.send(this.vm.chat(false)).text(1000), containsString("\"run\":\"not_run\""));
	}

	@Test
	void refusalAfterALostTakeoverDoesNotClaimThatTheRequestDidNotRun() throws Exception {
		this.decode.decode = (exchange, id, from) -> {
			if (this.decode.opened.size() == 1) {
				FakeEngine.word(exchange, id, 0);
				this.decode.silence();
				return;
			}
			refuse(exchange, (this.decode.opened.size() == 2) ? 404 : 503);
		};
		HttpRequest request = this.vm.chat(true).withHeader("Idempotency-Key", "d");
		try (HttpResponse first = this.vm.send(request)) {
			assertThat(first.line(1000), is("id: 0"));
			assertThat(this.vm.send(request).text(1000), containsString("\"run\":\"unknown\""));
		}
	}

	@Test
	void refusalOfARetryDoesNotClaimThatTheRequestWasRefused() throws Exception {
		this.decode.decode = (exchange, id, from) -> {
			if (this.decode.opened.size() == 1) {
				exchange.getConnection().close();
				return;
			}
			refuse(exchange, 400);
		};
		HttpResponse response = this.vm.send(this.vm.chat(false));
		assertThat(response.status(), is(400));
		assertThat(response.text(1000), containsString("\"run\":\"unknown\""));
	}

	/**
	 * Guards against a refusal of a request that ran, and against a second run of it.
	 */
	@Test
	void lateCopyOfARefusalIsNotTheRefusalOfAnotherRequest() throws Exception {
		AtomicBoolean refusing = new AtomicBoolean(true);
		String refusal = LateCopyServer.response("503 Service Unavailable", "{\"error\":\"full\"}");
		try (LateCopyServer engine = LateCopyServer.start((request) -> {
			boolean refused = refusing.get() && !request.contains("/cancel");
			return refused ? refusal : engineReply(request);
		})) {
			this.vm.close();
			this.vm = new TestVm(TestVm.engine("p-1", EndpointRole.PREFILL, engine.address()),
					TestVm.engine("d-1", EndpointRole.DECODE, engine.address()));
			assertThat(this.vm.send(this.vm.chat(false)).status(), is(503));
			refusing.set(false);
			engine.received.clear();
			assertThat(stream(this.vm.chat(true)), is("w0 DONE"));
			assertThat(engine.received.stream().filter((request) -> !request.contains("/cancel")).toList(), hasSize(3));
		}
	}

	private static String engineReply(String request) {
		String id = request.replaceAll("(?s).*\"requestId\":\"([^\"]+)\".*", "$1");
		if (request.contains("/decode")) {
			return LateCopyServer.response("200 OK", "{\"requestId\":\"" + id + "\",\"offset\":0,\"text\":\"w0 \"}\n"
					+ "{\"requestId\":\"" + id + "\",\"offset\":1,\"finish\":\"stop\"}\n");
		}
		return LateCopyServer.response("200 OK",
				request.contains("/import") ? "{\"done\":true}\n" : "{\"prefillId\":\"p1\",\"promptTokens\":3}");
	}

	@Test
	void resendIsLoggedWithBothEndpointsAndTheProofThatTheRequestDidNotRun() throws Exception {
		this.decode.decode = (exchange, id, from) -> {
			if (this.decode.opened.size() == 1) {
				refuse(exchange, 503);
				return;
			}
			this.decode.answer(exchange, id, from);
		};
		try (ResendLines log = new ResendLines()) {
			assertThat(stream(this.vm.chat(true)), is("w0 w1 w2 w3 w4 DONE"));
			assertThat(log.lines.toString(), log.lines, hasItem(allOf(hasEntry("stage", "decode"),
					hasEntry("from", "d-1"), hasEntry("to", "d-1"), hasEntry("proof", "status 503: refused"))));
			assertThat(log.lines, hasItem(allOf(hasEntry("stage", "prefill"), hasEntry("proof", "none, it ran"))));
		}
	}

	private static void refuse(HttpServerExchange exchange, int status) throws IOException {
		exchange.setStatusCode(status);
		FakeEngine.send(exchange, "{\"error\":\"refused\"}");
	}

	@Test
	void refusesAReusedKeyAndALostStream() throws Exception {
		HttpRequest request = this.vm.chat(true).withHeader("Idempotency-Key", "b");
		assertThat(stream(request), is("w0 w1 w2 w3 w4 DONE"));
		HttpResponse other = this.vm.send(this.vm.chat(false).withHeader("Idempotency-Key", "b"));
		assertThat(other.status(), is(422));
		HttpResponse lost = this.vm
			.send(this.vm.chat(true).withHeader("Idempotency-Key", "c").withHeader("Last-Event-ID", "3"));
		assertThat(lost.status(), is(409));
		assertThat(lost.text(1000), containsString("\"type\":\"stream_lost\""));
	}

	/**
	 * Guards against a request that waits for a stalled link although another decode
	 * engine is free.
	 */
	@Test
	void reroutesAStalledTransfer() throws Exception {
		this.decode.stalled = true;
		FakeEngine other = FakeEngine.start();
		this.vm.close();
		this.vm = new TestVm(this.endpoints[0], this.endpoints[1],
				TestVm.engine("d-2", EndpointRole.DECODE, other.address()));
		for (int i = 0; i < 2; i++) {
			assertThat(stream(this.vm.chat(true)), is("w0 w1 w2 w3 w4 DONE"));
		}
		assertThat(other.opened, hasSize(2));
		assertThat(this.decode.opened, is(empty()));
		other.close();
	}

	/**
	 * Guards against a shutdown that interrupts a running response.
	 */
	@Test
	void shutdownCompletesARunningAnswer() throws Exception {
		CountDownLatch released = new CountDownLatch(1);
		this.decode.decode = (exchange, id, from) -> {
			FakeEngine.word(exchange, id, 0);
			released.await();
			this.decode.answer(exchange, id, 1);
		};
		try (HttpResponse response = this.vm.send(this.vm.chat(true))) {
			assertThat(response.line(1000), is("id: 0"));
			Thread shutdown = new Thread(this.vm::shutDown);
			shutdown.start();
			assertThat(TestVm.await(3000, () -> refused()), is(true));
			released.countDown();
			assertThat(TestVm.events(response), is("w0 w1 w2 w3 w4 DONE"));
			shutdown.join();
		}
	}

	private boolean refused() {
		try {
			HttpRequest request = HttpRequest.get(this.vm.address(), "/v1/services/none/x").withFreshConnection();
			return this.vm.send(request).text(1000).contains("\"type\":\"not_serving\"");
		}
		catch (HttpException ex) {
			return false;
		}
	}

	@Test
	void listsTheVmsWithoutAKey() throws Exception {
		String text = this.vm.send(HttpRequest.get(this.vm.address(), "/v1/vms")).text(1000);
		assertThat(text, containsString("\"validForSeconds\":10"));
	}

}
