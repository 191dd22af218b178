package org.banyanstile.server.router;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import io.undertow.Undertow;
import io.undertow.server.HttpServerExchange;
import org.banyanstile.server.caller.CallerConnection;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

/**
 * Tests that an error after the end of an exchange does not close its connection under
 * the next request (LOST).
 *
 * @author banyanstile contributors
 */
class EndedExchangeTests {

	private static final int TIMEOUT_MILLIS = 5000;

	private static final String REQUEST = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";

	private final OpenExchanges exchanges = new OpenExchanges();

	private final DecisionLog log = DecisionLog.create();

	private final BlockingQueue<Served> served = new LinkedBlockingQueue<>();

	private final CountDownLatch mayRespondAgain = new CountDownLatch(1);

	private final Undertow server = Undertow.builder()
		.addHttpListener(0, "127.0.0.1", (exchange) -> exchange.dispatch(() -> respond(exchange)))
		.build();

	@BeforeEach
	void start() {
		this.server.start();
	}

	@AfterEach
	void stop() {
		this.mayRespondAgain.countDown();
		this.server.stop();
	}

	private void respond(HttpServerExchange exchange) {
		OpenExchange open = this.exchanges.add(exchange, TIMEOUT_MILLIS);
		CallerResponse response = new CallerResponse(exchange, new CallerConnection(exchange), open, this.log);
		if (exchange.getRequestHeaders().contains("X-Refused")) {
			exchange.getResponseSender().send("{}");
			this.served.add(new Served(open, response));
			return;
		}
		boolean first = exchange.getRequestHeaders().contains("X-First");
		try {
			if (!first) {
				this.served.add(new Served(open, response));
				this.mayRespondAgain.await();
			}
			response.reject(RejectionException.noRoute());
			if (first) {
				this.served.add(new Served(open, response));
			}
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	// Sends two requests on a connection, and ends the first one with an error while the
	// second one runs.
	private void assertSecondIsAnswered(ErrorAfterTheEnd error) throws Exception {
		InetSocketAddress address = (InetSocketAddress) this.server.getListenerInfo().get(0).getAddress();
		try (Socket caller = new Socket("127.0.0.1", address.getPort())) {
			caller.setSoTimeout(TIMEOUT_MILLIS);
			send(caller, REQUEST.replace("Host: h", "Host: h\r\nX-First: yes"));
			assertThat(read(caller.getInputStream()), containsString(" 404 "));
			Served first = this.served.poll(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
			send(caller, REQUEST);
			this.served.poll(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
			error.occur(first);
			this.mayRespondAgain.countDown();
			assertThat("response to the second request", read(caller.getInputStream()), containsString(" 404 "));
		}
	}

	private static void send(Socket caller, String text) throws IOException {
		caller.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
	}

	private static String read(InputStream in) throws IOException {
		StringBuilder response = new StringBuilder();
		int b = in.read();
		while (b >= 0) {
			response.append((char) b);
			if (response.toString().endsWith("}")) {
				break;
			}
			b = in.read();
		}
		return response.toString();
	}

	@Test
	void failureAfterTheEndDoesNotCloseTheConnectionOfTheNextRequest() throws Exception {
		assertSecondIsAnswered(
				(first) -> this.exchanges.fail(first.open(), new OutOfMemoryError("thrown by the test")));
	}

	@Test
	void abortAfterTheEndDoesNotCloseTheConnectionOfTheNextRequest() throws Exception {
		assertSecondIsAnswered((first) -> first.response().abort());
	}

	@Test
	void exchangeThatWasRefusedIsNotAnsweredAtItsDeadline() throws Exception {
		InetSocketAddress address = (InetSocketAddress) this.server.getListenerInfo().get(0).getAddress();
		try (Socket caller = new Socket("127.0.0.1", address.getPort())) {
			caller.setSoTimeout(TIMEOUT_MILLIS);
			send(caller, REQUEST.replace("Host: h", "Host: h\r\nX-Refused: yes"));
			assertThat(read(caller.getInputStream()), containsString(" 200 "));
			Served refused = this.served.poll(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
			assertThat(refused.open().tryAnswerAtDeadline(), is(false));
		}
	}

	/**
	 * An error on the path of a request whose response is complete.
	 */
	@FunctionalInterface
	private interface ErrorAfterTheEnd {

		void occur(Served first);

	}

	/**
	 * A request and its response.
	 *
	 * @param open its exchange
	 * @param response its response
	 * @author banyanstile contributors
	 */
	private record Served(OpenExchange open, CallerResponse response) {

	}

}
