package org.banyanstile.io.http;

import java.io.IOException;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import io.undertow.Undertow;
import io.undertow.server.HttpHandler;
import io.undertow.server.handlers.BlockingHandler;
import io.undertow.util.Headers;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.nullValue;
import static org.junit.jupiter.api.Assertions.assertThrows;

/**
 * Tests for {@link HttpClient} against an Undertow server.
 *
 * @author banyanstile contributors
 */
class HttpClientTests {

	private final CountDownLatch released = new CountDownLatch(1);

	private Undertow server;

	private HttpClient client;

	@BeforeEach
	void start() {
		this.client = HttpClient.create(1);
	}

	@AfterEach
	void stop() {
		this.released.countDown();
		this.client.close();
		if (this.server != null) {
			this.server.stop();
		}
	}

	private String serve(HttpHandler handler) {
		this.server = Undertow.builder().addHttpListener(0, "127.0.0.1", new BlockingHandler(handler)).build();
		this.server.start();
		InetSocketAddress address = (InetSocketAddress) this.server.getListenerInfo().get(0).getAddress();
		return "127.0.0.1:" + address.getPort();
	}

	@Test
	void echoesBodiesOnReusedConnections() throws Exception {
		String address = serve(
				(exchange) -> exchange.getOutputStream().write(exchange.getInputStream().readAllBytes()));
		for (int i = 0; i < 50; i++) {
			String body = "{\"n\":" + i + "}";
			String text = this.client.send(HttpRequest.postJson(address, "/", body)).text(1000);
			assertThat(text, is(equalTo(body)));
		}
	}

	@Test
	void cancelledResponseDoesNotLookComplete() throws Exception {
		String address = serve((exchange) -> {
			byte[] part = new byte[64 * 1024];
			exchange.setResponseContentLength(2L * part.length);
			exchange.getOutputStream().write(part);
			exchange.getOutputStream().flush();
			this.released.await();
		});
		CallHandle handle = new CallHandle();
		HttpResponse response = this.client.send(HttpRequest.get(address, "/"), handle);
		handle.cancel();
		runQueuedTasks();
		assertThrows(HttpException.class, () -> {
			while (response.next() != null) {
				runQueuedTasks();
			}
		});
	}

	// The client has one I/O thread, which runs its tasks in order.
	private void runQueuedTasks() {
		assertThrows(HttpException.class,
				() -> this.client.send(HttpRequest.get("127.0.0.1:1", "/").withFreshConnection()));
	}

	@Test
	void cancelAfterTheEndOfAResponseLeavesItsConnectionToOthers() throws Exception {
		String address = serve((exchange) -> {
			exchange.getOutputStream().write("begin".getBytes(StandardCharsets.UTF_8));
			if (exchange.getRelativePath().equals("/second")) {
				exchange.getOutputStream().flush();
				this.released.await();
			}
			exchange.getOutputStream().write("end".getBytes(StandardCharsets.UTF_8));
		});
		CallHandle handle = new CallHandle();
		assertThat(this.client.send(HttpRequest.get(address, "/first"), handle).text(100), is("beginend"));
		HttpResponse second = this.client.send(HttpRequest.get(address, "/second"));
		assertThat(second.exchangeNumber(), is(2));
		handle.cancel();
		runQueuedTasks();
		this.released.countDown();
		assertThat(second.text(100), is("beginend"));
	}

	@Test
	void readsLinesWhileTheResponseIsWritten() throws Exception {
		String address = serve((exchange) -> {
			OutputStream out = exchange.getOutputStream();
			out.write("one\n".getBytes(StandardCharsets.UTF_8));
			out.flush();
			this.released.await();
			out.write("two\n".getBytes(StandardCharsets.UTF_8));
		});
		try (HttpResponse response = this.client.send(HttpRequest.get(address, "/"))) {
			assertThat(response.line(100), is("one"));
			this.released.countDown();
			assertThat(response.line(100), is("two"));
			assertThat(response.line(100), is(nullValue()));
		}
	}

	@Test
	void reportsASilentPeerAsTimeout() {
		String address = serve((exchange) -> this.released.await());
		HttpRequest request = HttpRequest.get(address, "/").withTimeout(Duration.ofMillis(200));
		assertThrows(ResponseTimeoutException.class, () -> this.client.send(request));
	}

	@Test
	void reportsARefusedConnectionAsNotSent() throws Exception {
		int port;
		try (ServerSocket socket = new ServerSocket(0)) {
			port = socket.getLocalPort();
		}
		assertThrows(ConnectFailedException.class, () -> this.client.send(HttpRequest.get("127.0.0.1:" + port, "/")));
	}

	@Test
	void reportsAnUnusableAddressAsNotSent() {
		for (String address : List.of("127.0.0.1:65536", "127.0.0.1:99999999999", "127.0.0.1:0", "127.0.0.1:-1",
				"127.0.0.1", "127.0.0.1:", ":80", "", "300.1.1.1:80", "[::1", "::1:80", "a b:80", "a\r\nb:80",
				"127.0.0.1:80/x", "user@127.0.0.1:80")) {
			HttpRequest request = HttpRequest.get(address, "/").withTimeout(Duration.ofSeconds(1));
			assertThrows(ConnectFailedException.class, () -> this.client.send(request), address);
		}
	}

	@Test
	void doesNotSendALineBreakInAFieldOrTarget() throws Exception {
		List<String> received = new CopyOnWriteArrayList<>();
		String address = serve((exchange) -> received.add(exchange.getRequestURI() + exchange.getRequestHeaders()));
		for (String breaks : List.of("\r\n", "\n", "\r", "\u010d\u010a", "\u560d\u560a", "\u0000")) {
			for (HttpRequest request : List.of(HttpRequest.get(address, "/").withHeader("A", "a" + breaks + "B: b"),
					HttpRequest.get(address, "/").withHeader("A" + breaks + "B", "b"),
					HttpRequest.get(address, "/a" + breaks + "B: b"))) {
				assertThrows(ConnectFailedException.class,
						() -> this.client.send(request.withTimeout(Duration.ofSeconds(1))), request.toString());
			}
		}
		assertThat(received, is(empty()));
		this.client.send(HttpRequest.get(address, "/a%0d%0a").withHeader("A", "caf\u00e9\t")).close();
		assertThat(received.size(), is(1));
	}

	@Test
	void doesNotReuseAConnectionWithUnreadBytes() throws Exception {
		String address = serve((exchange) -> exchange.getOutputStream()
			.write((exchange.getRequestPath() + "\nrest\n").getBytes(StandardCharsets.UTF_8)));
		try (HttpResponse response = this.client.send(HttpRequest.get(address, "/first"))) {
			assertThat(response.line(100), is("/first"));
		}
		try (HttpResponse response = this.client.send(HttpRequest.get(address, "/second"))) {
			assertThat(response.line(100), is("/second"));
		}
	}

	@Test
	void readsOnWhenThePeerWillCloseTheConnection() throws Exception {
		String address = serve((exchange) -> {
			exchange.getResponseHeaders().put(Headers.CONNECTION, "close");
			OutputStream out = exchange.getOutputStream();
			out.write("one\n".getBytes(StandardCharsets.UTF_8));
			out.flush();
			this.released.await();
			out.write("two\n".getBytes(StandardCharsets.UTF_8));
		});
		try (HttpResponse response = this.client.send(HttpRequest.get(address, "/"))) {
			assertThat(response.line(100), is("one"));
			CompletableFuture.delayedExecutor(300, TimeUnit.MILLISECONDS).execute(this.released::countDown);
			assertThat(response.line(100), is("two"));
			assertThat(response.line(100), is(nullValue()));
		}
	}

	@Test
	void closingAResponseEarlyEndsItsConnectionAlsoWhenThePeerWillCloseIt() throws Exception {
		try (ServerSocket listener = new ServerSocket(0)) {
			listener.setSoTimeout(5000);
			CompletableFuture<Integer> end = CompletableFuture.supplyAsync(() -> {
				try (Socket accepted = listener.accept()) {
					accepted.setSoTimeout(2000);
					// The client treats a response that precedes its request as an error.
					accepted.getInputStream().read(new byte[1024]);
					accepted.getOutputStream()
						.write("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 10\r\n\r\none\n"
							.getBytes(StandardCharsets.UTF_8));
					return awaitEnd(accepted);
				}
				catch (IOException ex) {
					throw new UncheckedIOException(ex);
				}
			});
			try (HttpResponse response = this.client
				.send(HttpRequest.get("127.0.0.1:" + listener.getLocalPort(), "/"))) {
				assertThat(response.line(100), is("one"));
			}
			assertThat(end.get(), is(-1));
		}
	}

	/**
	 * Guards against a race of the caller's thread with the I/O thread, which frees the
	 * buffers of a connection when the peer resets it.
	 */
	@Test
	void resetWhileARequestIsWrittenIsReportedAsABrokenConnection() throws Exception {
		String body = "x".repeat(40_000);
		try (ServerSocket listener = new ServerSocket(0)) {
			Thread peer = new Thread(() -> resetAll(listener));
			peer.start();
			String address = "127.0.0.1:" + listener.getLocalPort();
			List<CompletableFuture<Integer>> callers = new ArrayList<>();
			for (int i = 0; i < 8; i++) {
				callers.add(CompletableFuture.supplyAsync(() -> {
					int broken = 0;
					for (int n = 0; n < 300; n++) {
						try (HttpResponse response = this.client.send(HttpRequest.postJson(address, "/", body))) {
							broken -= response.status();
						}
						catch (HttpException ex) {
							broken++;
						}
					}
					return broken;
				}));
			}
			for (CompletableFuture<Integer> caller : callers) {
				assertThat(caller.get(), is(300));
			}
		}
	}

	@Test
	void bodyThatBreaksOffStillHasItsHead() throws Exception {
		byte[] part = ("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\none\n\r\n9\r\ntw")
			.getBytes(StandardCharsets.UTF_8);
		try (ServerSocket listener = new ServerSocket(0)) {
			Thread peer = new Thread(() -> breakOffAll(listener, part));
			peer.start();
			HttpRequest request = HttpRequest.postJson("127.0.0.1:" + listener.getLocalPort(), "/", "body");
			for (int i = 0; i < 300; i++) {
				try (HttpResponse response = this.client.send(request)) {
					assertThat(response.line(100), is("one"));
					assertThrows(ConnectionBrokenException.class, () -> response.line(100));
				}
			}
		}
	}

	private static void breakOffAll(ServerSocket listener, byte[] part) {
		while (true) {
			try (Socket accepted = listener.accept()) {
				int read = 0;
				byte[] bytes = new byte[4096];
				while (!new String(bytes, 0, read, StandardCharsets.UTF_8).endsWith("body")) {
					read += accepted.getInputStream().read(bytes, read, bytes.length - read);
				}
				accepted.getOutputStream().write(part);
			}
			catch (IOException ex) {
				if (listener.isClosed()) {
					return;
				}
			}
		}
	}

	private static void resetAll(ServerSocket listener) {
		int n = 0;
		while (true) {
			try (Socket accepted = listener.accept()) {
				accepted.setSoLinger(true, 0);
				accepted.getInputStream().readNBytes(n++ % 3 * 100);
			}
			catch (IOException ex) {
				if (listener.isClosed()) {
					return;
				}
			}
		}
	}

	private static int awaitEnd(Socket socket) throws IOException {
		int read = 0;
		while (read >= 0) {
			read = socket.getInputStream().read(new byte[1024]);
		}
		return read;
	}

	/**
	 * Guards against a call that is reported as broken although its response arrived: the
	 * I/O thread detaches the request channel while the caller flushes it.
	 */
	@Test
	void answeredCallsAreNotReportedAsBroken() throws Exception {
		String address = serve((exchange) -> exchange.setStatusCode(200));
		List<CompletableFuture<Integer>> callers = new ArrayList<>();
		for (int i = 0; i < 8; i++) {
			callers.add(CompletableFuture.supplyAsync(() -> {
				int answered = 0;
				for (int n = 0; n < 500; n++) {
					try (HttpResponse response = this.client
						.send(HttpRequest.get(address, "/").withFreshConnection())) {
						answered += (response.status() == 200) ? 1 : 0;
					}
					catch (HttpException ex) {
						throw new IllegalStateException(ex);
					}
				}
				return answered;
			}));
		}
		for (CompletableFuture<Integer> caller : callers) {
			assertThat(caller.get(), is(500));
		}
	}

}
