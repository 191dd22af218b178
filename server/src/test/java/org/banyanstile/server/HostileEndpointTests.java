package org.banyanstile.server;

import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

import org.banyanstile.config.EndpointRole;
import org.banyanstile.io.http.HttpException;
import org.banyanstile.io.http.HttpRequest;
import org.banyanstile.io.http.HttpResponse;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.anEmptyMap;
import static org.hamcrest.Matchers.endsWith;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.not;
import static org.hamcrest.Matchers.startsWith;

/**
 * Tests of a whole VM against an endpoint whose responses have no end, or stop at any
 * byte.
 *
 * @author banyanstile contributors
 */
class HostileEndpointTests {

	private static final String HEAD = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n";

	private static final String CHUNKED = HEAD + "Transfer-Encoding: chunked\r\n\r\n";

	private static final int CALLERS = 4;

	private static final long MAX_ADDED_BYTES = 64L * 1024 * 1024;

	/**
	 * The deadline of the callers of orders.
	 */
	private static final int DEADLINE_MILLIS = 2000;

	/**
	 * Time in which every order has to end.
	 */
	private static final int ORDER_LIMIT_SECONDS = 20;

	/**
	 * Connections of a stream to its engines: three runs, each with six failures in a
	 * row.
	 */
	private static final int STREAM_CONNECTIONS = 3 * 6;

	/**
	 * Time in which every stream has to end: each connection may be silent for 5 s.
	 */
	private static final int STREAM_LIMIT_SECONDS = 5 * STREAM_CONNECTIONS;

	private final ExecutorService callers = Executors.newCachedThreadPool();

	private RawEndpoint service;

	private RawEndpoint engine;

	private TestVm vm;

	@BeforeEach
	void start() throws IOException {
		this.service = RawEndpoint.start();
		this.engine = RawEndpoint.start();
		this.vm = new TestVm(TestVm.service("s-1", this.service.address()),
				TestVm.engine("p-1", EndpointRole.PREFILL, this.engine.address()),
				TestVm.engine("d-1", EndpointRole.DECODE, this.engine.address()));
	}

	@AfterEach
	void close() throws IOException {
		this.callers.shutdownNow();
		this.service.close();
		this.engine.close();
		this.vm.close();
	}

	private HttpRequest order(int number) {
		return HttpRequest.postJson(this.vm.address(), "/v1/services/orders/orders", "{\"panel\":" + number + "}")
			.withHeader("Authorization", "Bearer " + TestVm.KEY.text())
			.withHeader("Idempotency-Key", "order-" + number)
			.withHeader("X-Deadline-Ms", Integer.toString(DEADLINE_MILLIS))
			.withTimeout(Duration.ofSeconds(ORDER_LIMIT_SECONDS));
	}

	private int status(HttpRequest request) throws HttpException {
		try (HttpResponse response = this.vm.send(request)) {
			response.text(100_000);
			return response.status();
		}
	}

	private String chat(boolean stream) throws HttpException {
		try (HttpResponse response = this.vm
			.send(this.vm.chat(stream).withTimeout(Duration.ofSeconds(STREAM_LIMIT_SECONDS)))) {
			return stream ? TestVm.events(response) : response.status() + response.text(100_000);
		}
	}

	private static void repeat(Socket connection, String beginning, String part) throws IOException {
		RawEndpoint.send(connection, beginning);
		byte[] repeated = part.repeat(Math.max(1, 8192 / part.length())).getBytes(StandardCharsets.ISO_8859_1);
		while (true) {
			connection.getOutputStream().write(repeated);
		}
	}

	private static void trickle(Socket connection, String beginning, String part)
			throws IOException, InterruptedException {
		RawEndpoint.send(connection, beginning);
		while (true) {
			RawEndpoint.send(connection, part);
			TimeUnit.MILLISECONDS.sleep(200);
		}
	}

	private static long liveBytes() {
		System.gc();
		return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
	}

	// Returns the results of some calls at a time, whose responses have no end.
	private <T> List<T> callWithinMemory(int limitSeconds, Call<T> call) throws Exception {
		long before = liveBytes();
		List<Future<T>> results = new ArrayList<>();
		for (int i = 0; i < CALLERS; i++) {
			int number = i;
			results.add(this.callers.submit(() -> call.call(number)));
		}
		long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(limitSeconds);
		while (!results.stream().allMatch(Future::isDone)) {
			assertThat("bytes added to the heap", liveBytes() - before, is(lessThan(MAX_ADDED_BYTES)));
			assertThat("the calls end within " + limitSeconds + " s", System.nanoTime() < end, is(true));
		}
		List<T> values = new ArrayList<>();
		for (Future<T> result : results) {
			values.add(result.get());
		}
		return values;
	}

	@ParameterizedTest
	@ValueSource(strings = { "|abcdefghij", "|\r\n", "HTTP/1.1 200 |abcdefghij", "HTTP/1.1 200 OK\r\n|abcdefghij",
			"HTTP/1.1 200 OK\r\nX-Long: |abcdefghij", "HTTP/1.1 200 OK\r\n|X-Filler: abcdefghij\r\n",
			"|HTTP/1.1 100 Continue\r\n\r\n", HEAD + "\r\n|abcdefghij",
			HEAD + "Content-Length: 1000000000000\r\n\r\n|abcdefghij", CHUNKED + "7fffffff\r\n|abcdefghij",
			CHUNKED + "|a\r\nabcdefghij\r\n", CHUNKED + "|0", CHUNKED + "5;|abcdefghij",
			CHUNKED + "1\r\na\r\n0\r\n|X-Filler: abcdefghij\r\n" })
	void orderWhoseResponseHasNoEndFails(String parts) throws Exception {
		String[] part = parts.split("\\|");
		this.service.setBehaviour((request, connection) -> repeat(connection, part[0], part[1]));
		for (int status : callWithinMemory(ORDER_LIMIT_SECONDS, (number) -> status(order(number)))) {
			assertThat(status, is(greaterThanOrEqualTo(500)));
		}
		assertThat(TestVm.await(5000, () -> this.service.responding() == 0), is(true));
	}

	@ParameterizedTest
	@ValueSource(strings = { "HTTP/1.1 200 OK\r\nX-Long: |a", HEAD + "\r\n|a", CHUNKED + "|1\r\na\r\n" })
	void orderWhoseResponseArrivesInSingleBytesWithoutEndFails(String parts) throws Exception {
		String[] part = parts.split("\\|");
		this.service.setBehaviour((request, connection) -> trickle(connection, part[0], part[1]));
		for (int status : callWithinMemory(ORDER_LIMIT_SECONDS, (number) -> status(order(number)))) {
			assertThat(status, is(greaterThanOrEqualTo(500)));
		}
		assertThat(TestVm.await(5000, () -> this.service.responding() == 0), is(true));
	}

	@ParameterizedTest
	@ValueSource(booleans = { true, false })
	void generationWithMoreTokensThanItsLimitFails(boolean stream) throws Exception {
		this.engine.setBehaviour((request, connection) -> {
			RawEndpoint.send(connection, CHUNKED);
			String from = request.replaceAll("(?s).*\"fromOffset\":(\\d+).*", "$1");
			for (long i = Long.parseLong(from);; i++) {
				RawEndpoint.send(connection, RawEndpoint.chunk(RawEndpoint.word(request, i)));
			}
		});
		for (String text : callWithinMemory(STREAM_LIMIT_SECONDS, (number) -> chat(stream))) {
			assertThat(text, not(endsWith("DONE")));
			assertThat(text.startsWith("200"), is(false));
		}
		assertThat(TestVm.await(5000, () -> this.engine.responding() == 0), is(true));
	}

	@Test
	void generationWithTokensOfAnySizeFails() throws Exception {
		String text = "x".repeat(200_000);
		this.engine.setBehaviour((request, connection) -> {
			RawEndpoint.send(connection, CHUNKED);
			for (long i = 0;; i++) {
				RawEndpoint.send(connection,
						RawEndpoint.chunk(RawEndpoint.word(request, i).replaceAll("w\\d+ ", text)));
			}
		});
		for (String response : callWithinMemory(STREAM_LIMIT_SECONDS, (number) -> chat(false))) {
			assertThat(response.startsWith("200"), is(false));
		}
	}

	@ParameterizedTest
	@ValueSource(strings = { CHUNKED + "|a\r\nabcdefghij\r\n", CHUNKED + "|1\r\n\n\r\n", CHUNKED + "|0",
			"HTTP/1.1 200 OK\r\nX-Long: |abcdefghij", "HTTP/1.1 200 OK\r\n|X-Filler: abcdefghij\r\n" })
	void streamWhoseResponseHasNoEndFails(String parts) throws Exception {
		String[] part = parts.split("\\|");
		this.engine.setBehaviour((request, connection) -> repeat(connection, part[0], part[1]));
		for (String text : callWithinMemory(STREAM_LIMIT_SECONDS, (number) -> chat(true))) {
			assertThat(text, not(endsWith("DONE")));
		}
		assertThat(this.engine.requests(), is(lessThanOrEqualTo(CALLERS * STREAM_CONNECTIONS)));
	}

	/**
	 * Guards against a worker that an engine holds by single bytes after its caller has
	 * left.
	 */
	@Test
	void streamInSingleBytesWithoutALineIsKeptAliveAndReleased() throws Exception {
		this.engine.setBehaviour((request, connection) -> trickle(connection, CHUNKED, "1\r\na\r\n"));
		try (HttpResponse response = this.vm.send(this.vm.chat(true).withTimeout(Duration.ofSeconds(3)))) {
			assertThat(response.line(1000), startsWith(": keep-alive"));
		}
		assertThat(TestVm.await(3000, () -> this.engine.responding() == 0), is(true));
	}

	@ParameterizedTest
	@ValueSource(booleans = { false, true })
	void orderWhoseResponseStopsAtAnyByteIsNotAnsweredAsComplete(boolean chunked) throws Exception {
		String whole = chunked ? CHUNKED + "4\r\nfine\r\n0\r\n\r\n" : RawEndpoint.json("fine");
		Map<Integer, Integer> complete = new HashMap<>();
		for (int length = 0; length < whole.length(); length++) {
			String part = whole.substring(0, length);
			this.service.setBehaviour((request, connection) -> {
				RawEndpoint.send(connection, part);
				connection.close();
			});
			int status = status(order(length));
			if (status < 500) {
				complete.put(length, status);
			}
		}
		assertThat(complete, is(anEmptyMap()));
		assertThat(this.service.requests(), is(whole.length()));
	}

	@Test
	void streamThatStopsAtAnyByteIsCompletedOrFails() throws Exception {
		int length = RawEndpoint.words("", 2).length() + 200;
		List<Integer> wrong = new ArrayList<>();
		for (int i = 0; i < length; i += 7) {
			int cut = i;
			this.engine.setBehaviour((request, connection) -> {
				boolean first = request.contains("\"fromOffset\":0");
				String whole = RawEndpoint.words(request, 2) + RawEndpoint.finish(request, 2);
				RawEndpoint.send(connection, first ? whole.substring(0, Math.min(cut, whole.length()))
						: CHUNKED + RawEndpoint.finish(request, 2));
				connection.close();
			});
			String text = chat(true);
			if (text.endsWith("DONE") && !text.equals("w0 w1 DONE")) {
				wrong.add(cut);
			}
		}
		assertThat(wrong, is(List.of()));
	}

	/**
	 * A call to the VM.
	 *
	 * @param <T> type of the result
	 */
	@FunctionalInterface
	private interface Call<T> {

		T call(int number) throws HttpException;

	}

}
