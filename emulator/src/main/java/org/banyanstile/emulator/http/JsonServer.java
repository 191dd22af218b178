package org.banyanstile.emulator.http;

import java.io.IOException;
import java.net.InetSocketAddress;

import com.fasterxml.jackson.core.JsonProcessingException;
import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.handlers.BlockingHandler;

/**
 * HTTP server whose handlers may block.
 *
 * @author banyanstile contributors
 */
public final class JsonServer implements AutoCloseable {

	private static final int IO_THREADS = 2;

	private static final long MAX_BODY_BYTES = 4L << 20;

	private final Undertow server;

	private JsonServer(Undertow server) {
		this.server = server;
	}

	/**
	 * Starts a server.
	 * @param listen address as {@code ip:port}, port 0 for any free port
	 * @param workers number of threads for requests
	 * @param handler handles the requests
	 * @return the running server
	 */
	public static JsonServer start(String listen, int workers, HttpHandler handler) {
		int colon = listen.lastIndexOf(':');
		Undertow server = Undertow.builder()
			.addHttpListener(Integer.parseInt(listen.substring(colon + 1)), listen.substring(0, colon),
					new BlockingHandler((exchange) -> handle(exchange, handler)))
			.setIoThreads(IO_THREADS)
			.setWorkerThreads(workers)
			.setServerOption(UndertowOptions.MAX_ENTITY_SIZE, MAX_BODY_BYTES)
			.build();
		server.start();
		return new JsonServer(server);
	}

	private static void handle(HttpServerExchange exchange, HttpHandler handler) throws Exception {
		try {
			handler.handleRequest(exchange);
		}
		catch (JsonProcessingException ex) {
			Json.error(exchange, 400, "body is not JSON");
		}
		catch (IOException ex) {
			// The peer closed the connection. Handlers that must react to it do so
			// themselves.
			exchange.getConnection().close();
		}
	}

	/**
	 * Returns the address on which the server listens.
	 * @return the address as {@code ip:port}
	 */
	public String address() {
		InetSocketAddress address = (InetSocketAddress) this.server.getListenerInfo().get(0).getAddress();
		return address.getAddress().getHostAddress() + ":" + address.getPort();
	}

	@Override
	public void close() {
		this.server.stop();
	}

}
