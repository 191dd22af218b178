package org.banyanstile.server.caller;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;

import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.Methods;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.jspecify.annotations.Nullable;
import org.xnio.Options;

/**
 * HTTP listener for callers. Requests run on a bounded pool of workers. If no worker is
 * free, the I/O thread refuses the request at once. It also serves the list of VMs.
 *
 * @author banyanstile contributors
 */
public final class CallerServer implements AutoCloseable {

	private static final int MAX_HEADER_BYTES = 16 * 1024;

	private static final int MAX_HEADERS = 64;

	private static final int MAX_CONNECTIONS = 4096;

	private static final int HEADER_TIMEOUT_MILLIS = 5000;

	private static final int IDLE_TIMEOUT_MILLIS = 60_000;

	private static final int VM_LIST_VALIDITY_SECONDS = 10;

	private static final long RETRY_AFTER_MILLIS = 100;

	private static final Logger logger = LogManager.getLogger(CallerServer.class);

	private final MemberDirectory members;

	private final ChatHandler chat;

	private final ServiceHandler service;

	private final Semaphore workers;

	private final AtomicInteger running = new AtomicInteger();

	private volatile boolean refusing;

	private @Nullable Undertow server;

	private CallerServer(RequestServices services, MemberDirectory members, int workers) {
		this.members = members;
		this.chat = new ChatHandler(services);
		this.service = new ServiceHandler(services);
		this.workers = new Semaphore(workers);
	}

	/**
	 * Starts the listener.
	 * @param address address to listen on
	 * @param workers number of workers
	 * @param services services for the request handlers
	 * @param members the VMs that callers can send requests to
	 * @return the listener
	 */
	public static CallerServer start(InetSocketAddress address, int workers, RequestServices services,
			MemberDirectory members) {
		CallerServer caller = new CallerServer(services, members, workers);
		Undertow server = Undertow.builder()
			.addHttpListener(address.getPort(), address.getHostString(), caller::handle)
			.setWorkerThreads(workers)
			.setIoThreads(2)
			.setServerOption(UndertowOptions.MAX_HEADER_SIZE, MAX_HEADER_BYTES)
			.setServerOption(UndertowOptions.MAX_HEADERS, MAX_HEADERS)
			.setServerOption(UndertowOptions.REQUEST_PARSE_TIMEOUT, HEADER_TIMEOUT_MILLIS)
			.setServerOption(UndertowOptions.NO_REQUEST_TIMEOUT, IDLE_TIMEOUT_MILLIS)
			.setServerOption(UndertowOptions.ALWAYS_SET_KEEP_ALIVE, false)
			.setSocketOption(Options.CONNECTION_HIGH_WATER, MAX_CONNECTIONS)
			.setSocketOption(Options.CONNECTION_LOW_WATER, MAX_CONNECTIONS - 1)
			.setSocketOption(Options.TCP_NODELAY, true)
			.build();
		server.start();
		caller.server = server;
		return caller;
	}

	/**
	 * Returns the port that the listener is bound to.
	 * @return the port
	 */
	public int port() {
		Undertow started = Objects.requireNonNull(this.server);
		return ((InetSocketAddress) started.getListenerInfo().get(0).getAddress()).getPort();
	}

	/**
	 * Returns the number of requests that are running.
	 * @return the number
	 */
	public int running() {
		return this.running.get();
	}

	/**
	 * Refuses new requests from now on. Running requests continue.
	 */
	public void refuseNew() {
		this.refusing = true;
	}

	private void handle(HttpServerExchange exchange) {
		if (exchange.getRequestPath().equals("/v1/vms") && exchange.getRequestMethod().equals(Methods.GET)) {
			exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
			exchange.getResponseSender()
				.send(ByteBuffer.wrap(CallerJson
					.write(Map.of("vms", this.members.members(), "validForSeconds", VM_LIST_VALIDITY_SECONDS))));
			return;
		}
		this.running.incrementAndGet();
		if (this.refusing || !this.workers.tryAcquire()) {
			refuse(exchange);
			this.running.decrementAndGet();
			return;
		}
		exchange.dispatch(() -> {
			try {
				handleOnWorker(exchange);
			}
			finally {
				this.running.decrementAndGet();
				this.workers.release();
			}
		});
	}

	private void refuse(HttpServerExchange exchange) {
		RequestException ex = this.refusing
				? RequestException.notRun(ErrorType.NOT_SERVING, "this VM is shutting down", 0)
				: RequestException.notRun(ErrorType.OVERLOADED, "this VM has no free worker", RETRY_AFTER_MILLIS);
		exchange.setStatusCode(ex.status());
		exchange.setPersistent(false);
		exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
		exchange.getResponseHeaders().put(Headers.RETRY_AFTER, 1);
		exchange.getResponseSender().send(ByteBuffer.wrap(CallerJson.write(CallerJson.error(ex))));
	}

	private void handleOnWorker(HttpServerExchange exchange) {
		CallerConnection connection = new CallerConnection(exchange);
		ResponseWriter writer = new ResponseWriter(exchange, connection);
		try {
			route(exchange, writer, connection);
		}
		catch (RequestException ex) {
			fail(writer, connection, ex);
		}
		catch (IOException ex) {
			connection.close();
		}
		catch (RuntimeException ex) {
			logger.error("request handler failed", ex);
			fail(writer, connection, RequestException.unknown(ErrorType.OUTCOME_UNKNOWN, "internal error"));
		}
		catch (Error ex) {
			// Closed before anything is logged, since memory may be exhausted.
			connection.close();
			logger.error("request handler failed and its connection was closed", ex);
		}
	}

	private void route(HttpServerExchange exchange, ResponseWriter writer, CallerConnection connection)
			throws RequestException, IOException {
		String path = exchange.getRequestPath();
		if (path.equals("/v1/chat/completions") && exchange.getRequestMethod().equals(Methods.POST)) {
			this.chat.handle(exchange, writer, connection);
		}
		else if (path.startsWith(ServiceHandler.PREFIX)) {
			this.service.handle(exchange, writer);
		}
		else {
			throw RequestException.notRun(ErrorType.NOT_FOUND, "there is no such path");
		}
	}

	private static void fail(ResponseWriter writer, CallerConnection connection, RequestException ex) {
		try {
			if (writer.started()) {
				connection.close();
				return;
			}
			writer.sendError(ex);
		}
		catch (IOException failure) {
			connection.close();
		}
	}

	/**
	 * Stops the listener and closes all its connections.
	 */
	@Override
	public void close() {
		Undertow started = this.server;
		if (started != null) {
			started.stop();
		}
	}

}
