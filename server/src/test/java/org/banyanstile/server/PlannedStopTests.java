package org.banyanstile.server;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import org.banyanstile.config.EndpointRole;
import org.banyanstile.io.http.HttpResponse;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

/**
 * Tests that a planned stop of a VM leaves no request that was read without its answer.
 *
 * @author banyanstile contributors
 */
class PlannedStopTests {

	/**
	 * Longer than the stop takes to refuse new requests.
	 */
	private static final long PAUSE_MILLIS = 500;

	private final CountDownLatch begun = new CountDownLatch(1);

	private final CountDownLatch mayRespond = new CountDownLatch(1);

	private RawEndpoint service;

	private RawEndpoint engine;

	private TestVm vm;

	private CompletableFuture<Void> stopped = CompletableFuture.completedFuture(null);

	@BeforeEach
	void start() throws IOException {
		this.service = RawEndpoint.start();
		this.engine = RawEndpoint.start();
		this.vm = new TestVm(TestVm.service("s-1", this.service.address()),
				TestVm.engine("p-1", EndpointRole.PREFILL, this.engine.address()),
				TestVm.engine("d-1", EndpointRole.DECODE, this.engine.address()));
		this.service.setBehaviour((request, connection) -> {
			this.begun.countDown();
			this.mayRespond.await();
			RawEndpoint.send(connection, RawEndpoint.json("fine"));
		});
		this.engine.setBehaviour((request, connection) -> {
			RawEndpoint.send(connection, RawEndpoint.words(request, 1));
			this.begun.countDown();
			this.mayRespond.await();
			RawEndpoint.send(connection, RawEndpoint.finish(request, 1));
		});
	}

	@AfterEach
	void close() throws IOException {
		this.mayRespond.countDown();
		this.stopped.join();
		this.service.close();
		this.engine.close();
		this.vm.close();
	}

	private void stopVm() throws InterruptedException {
		this.stopped = CompletableFuture.runAsync(this.vm::shutDown);
		TimeUnit.MILLISECONDS.sleep(PAUSE_MILLIS);
	}

	private void awaitBegun() throws InterruptedException {
		assertThat(this.begun.await(10, TimeUnit.SECONDS), is(true));
	}

	private Socket open() throws IOException {
		String[] address = this.vm.address().split(":");
		Socket socket = new Socket();
		socket.connect(new InetSocketAddress(address[0], Integer.parseInt(address[1])));
		socket.setSoTimeout(10_000);
		return socket;
	}

	private static String order(int number) {
		return "POST /v1/services/orders/orders HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer " + TestVm.KEY.text()
				+ "\r\nIdempotency-Key: k" + number + "\r\nContent-Length: 4\r\n\r\nbody";
	}

	private static void send(Socket caller, String text) throws IOException {
		caller.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
	}

	private static String statusLine(Socket caller) throws IOException {
		return String
			.valueOf(new BufferedReader(new InputStreamReader(caller.getInputStream(), StandardCharsets.ISO_8859_1))
				.readLine());
	}

	@Test
	void orderThatRunsAtTheStopIsAnswered() throws Exception {
		try (Socket caller = open()) {
			send(caller, order(1));
			awaitBegun();
			stopVm();
			this.mayRespond.countDown();
			assertThat(statusLine(caller), containsString(" 200 "));
		}
	}

	@Test
	void orderWhoseBodyArrivesDuringTheStopIsAnswered() throws Exception {
		try (Socket caller = open()) {
			String request = order(2);
			send(caller, request.substring(0, request.length() - 2));
			TimeUnit.MILLISECONDS.sleep(PAUSE_MILLIS);
			stopVm();
			this.mayRespond.countDown();
			send(caller, request.substring(request.length() - 2));
			assertThat(statusLine(caller), containsString(" 200 "));
		}
	}

	@Test
	void streamThatRunsAtTheStopIsCompleted() throws Exception {
		try (HttpResponse response = this.vm.send(this.vm.chat(true))) {
			awaitBegun();
			stopVm();
			this.mayRespond.countDown();
			assertThat(TestVm.events(response), is("w0 DONE"));
		}
	}

	@Test
	void orderThatArrivesAfterTheWindowIsRefusedAtOnce() throws Exception {
		try (Socket running = open(); Socket caller = open()) {
			send(running, order(3));
			awaitBegun();
			stopVm();
			send(caller, order(4));
			assertThat(statusLine(caller), containsString(" 503 "));
		}
		assertThat(this.service.requests(), is(1));
	}

}
