package org.banyanstile.server.caller;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.locks.LockSupport;

import io.undertow.Undertow;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/**
 * Tests of the poll for disconnects beside the server, over real sockets.
 *
 * @author banyanstile contributors
 */
class CallerConnectionTests {

	private static final int REQUESTS = 100;

	private static final int TIMEOUT_MILLIS = 2000;

	private static final String REQUEST = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";

	private static final long POLL_AFTER_RESPONSE_NANOS = TimeUnit.MILLISECONDS.toNanos(5);

	private final Undertow server = Undertow.builder()
		.addHttpListener(0, "127.0.0.1", (exchange) -> exchange.dispatch(() -> respond(exchange)))
		.build();

	@BeforeEach
	void start() {
		this.server.start();
	}

	@AfterEach
	void stop() {
		this.server.stop();
	}

	// Polls without a pause until some time after the last byte of the response.
	private static void respond(HttpServerExchange exchange) {
		CallerConnection connection = new CallerConnection(exchange);
		AtomicBoolean ended = new AtomicBoolean();
		Thread poll = new Thread(() -> {
			while (!ended.get()) {
				connection.isClosed();
			}
		}, "poll");
		poll.setDaemon(true);
		poll.start();
		exchange.getResponseHeaders().put(Headers.CONTENT_LENGTH, 2);
		exchange.startBlocking();
		try {
			exchange.getOutputStream().write("ok".getBytes(StandardCharsets.ISO_8859_1));
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		LockSupport.parkNanos(POLL_AFTER_RESPONSE_NANOS);
		connection.stop();
		ended.set(true);
		exchange.endExchange();
	}

	@Test
	void requestRightAfterAResponseIsAnswered() throws Exception {
		InetSocketAddress address = (InetSocketAddress) this.server.getListenerInfo().get(0).getAddress();
		int answered = 0;
		try (Socket caller = new Socket("127.0.0.1", address.getPort())) {
			caller.setSoTimeout(TIMEOUT_MILLIS);
			while (answered < REQUESTS && isAnswered(caller)) {
				answered++;
			}
		}
		assertThat("requests with an answer", answered, is(REQUESTS));
	}

	private static boolean isAnswered(Socket caller) {
		try {
			caller.getOutputStream().write(REQUEST.getBytes(StandardCharsets.ISO_8859_1));
			StringBuilder response = new StringBuilder();
			int b = caller.getInputStream().read();
			while (b >= 0) {
				response.append((char) b);
				if (response.toString().endsWith("\r\n\r\nok")) {
					return true;
				}
				b = caller.getInputStream().read();
			}
			return false;
		}
		catch (IOException ex) {
			return false;
		}
	}

}
