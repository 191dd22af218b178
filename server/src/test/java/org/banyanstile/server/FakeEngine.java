package org.banyanstile.server;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;

import io.undertow.Undertow;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.handlers.BlockingHandler;

/**
 * Engine for tests. It generates the words {@code w0}, {@code w1} and so on.
 *
 * @author banyanstile contributors
 */
public final class FakeEngine implements AutoCloseable {

	/**
	 * Requests that were cancelled.
	 */
	public final List<String> cancelled = new CopyOnWriteArrayList<>();

	/**
	 * Offsets at which decode connections were opened.
	 */
	public final List<Long> opened = new CopyOnWriteArrayList<>();

	/**
	 * Head and body of every request, to check them for keys.
	 */
	public final List<String> received = new CopyOnWriteArrayList<>();

	/**
	 * Number of words in a response.
	 */
	public volatile int words = 5;

	/**
	 * Writes a decode response; replaced by tests.
	 */
	public volatile Decode decode = this::answer;

	/**
	 * Whether transfers to this engine make no progress.
	 */
	public volatile boolean stalled;

	private final CountDownLatch closed = new CountDownLatch(1);

	private final Undertow server;

	private FakeEngine() {
		this.server = Undertow.builder()
			.addHttpListener(0, "127.0.0.1", new BlockingHandler(this::handle))
			.setWorkerThreads(16)
			.build();
		this.server.start();
	}

	/**
	 * Starts an engine.
	 * @return the engine
	 */
	public static FakeEngine start() {
		return new FakeEngine();
	}

	/**
	 * Returns the address.
	 * @return the address as {@code ip:port}
	 */
	public String address() {
		return "127.0.0.1:" + ((InetSocketAddress) this.server.getListenerInfo().get(0).getAddress()).getPort();
	}

	private void handle(HttpServerExchange exchange) throws Exception {
		String body = new String(exchange.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
		this.received
			.add(exchange.getRequestURI() + "?" + exchange.getQueryString() + exchange.getRequestHeaders() + body);
		switch (exchange.getRequestPath()) {
			case "/engine/v1/prefill" ->
				send(exchange, "{\"prefillId\":\"p1\",\"promptTokens\":3,\"kvPieces\":1,\"expiresInMillis\":900}");
			case "/engine/v1/kv/import" -> transfer(exchange);
			case "/engine/v1/decode" -> {
				long offset = Long.parseLong(body.replaceAll(".*\"fromOffset\":(\\d+).*", "$1"));
				this.opened.add(offset);
				this.decode.write(exchange, body.replaceAll(".*\"requestId\":\"([^\"]+)\".*", "$1"), offset);
			}
			case "/engine/v1/cancel" -> {
				this.cancelled.add(body.replaceAll(".*\"requestId\":\"([^\"]+)\".*", "$1"));
				send(exchange, "{}");
			}
			default -> send(exchange, "{\"streams\":[]}");
		}
	}

	private void transfer(HttpServerExchange exchange) throws Exception {
		send(exchange, "{\"pieces\":0,\"of\":1}\n");
		if (this.stalled) {
			this.closed.await();
		}
		send(exchange, "{\"done\":true}\n");
	}

	/**
	 * Writes the rest of a response.
	 * @param exchange the exchange
	 * @param requestId identifier of the request
	 * @param from offset of the first word
	 * @throws IOException if the connection broke
	 */
	public void answer(HttpServerExchange exchange, String requestId, long from) throws IOException {
		for (long i = from; i < this.words; i++) {
			word(exchange, requestId, i);
		}
		send(exchange, "{\"requestId\":\"" + requestId + "\",\"offset\":" + this.words + ",\"finish\":\"stop\"}\n");
	}

	/**
	 * Writes a word.
	 * @param exchange the exchange
	 * @param requestId identifier of the request
	 * @param offset offset of the word
	 * @throws IOException if the connection broke
	 */
	public static void word(HttpServerExchange exchange, String requestId, long offset) throws IOException {
		send(exchange,
				"{\"requestId\":\"" + requestId + "\",\"offset\":" + offset + ",\"text\":\"w" + offset + " \"}\n");
	}

	/**
	 * Writes text and flushes it.
	 * @param exchange the exchange
	 * @param text the text
	 * @throws IOException if the connection broke
	 */
	public static void send(HttpServerExchange exchange, String text) throws IOException {
		exchange.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
		exchange.getOutputStream().flush();
	}

	/**
	 * Stays silent until the engine is closed.
	 */
	public void silence() {
		try {
			this.closed.await();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	@Override
	public void close() {
		this.closed.countDown();
		this.server.stop();
	}

	/**
	 * Writes a decode response.
	 *
	 * @author banyanstile contributors
	 */
	@FunctionalInterface
	public interface Decode {

		/**
		 * Writes the response.
		 * @param exchange the exchange
		 * @param requestId identifier of the request
		 * @param from offset of the first word
		 * @throws Exception if the connection broke
		 */
		void write(HttpServerExchange exchange, String requestId, long from) throws Exception;

	}

}
