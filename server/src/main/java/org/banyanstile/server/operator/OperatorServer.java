package org.banyanstile.server.operator;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Deque;

import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.RequestTooBigException;
import io.undertow.server.handlers.BlockingHandler;
import io.undertow.util.Headers;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.banyanstile.config.key.OperatorToken;
import org.jspecify.annotations.Nullable;
import org.xnio.Options;

/**
 * HTTP server of the operator interface. Each request must carry the bearer token.
 *
 * @author banyanstile contributors
 */
public final class OperatorServer implements AutoCloseable {

	/**
	 * A configuration with 13,000 teams and 3,100 endpoints is about 6 MB.
	 */
	private static final long MAX_BODY_BYTES = 64L * 1024 * 1024;

	private static final int MAX_HEADER_BYTES = 16 * 1024;

	private static final int MAX_CONNECTIONS = 64;

	private static final int WORKERS = 4;

	private static final int IDLE_MILLIS = 30_000;

	private static final String BEARER = "Bearer ";

	private static final Logger logger = LogManager.getLogger(OperatorServer.class);

	private final String tokenHash;

	private final ConfigurationRoutes configuration;

	private final StatusSource status;

	private final BurnSource burn;

	private final PrometheusMeterRegistry registry;

	private final Undertow server;

	private OperatorServer(InetSocketAddress address, String tokenHash, ConfigurationService configuration,
			StatusSource status, BurnSource burn, PrometheusMeterRegistry registry) {
		this.tokenHash = tokenHash;
		this.configuration = new ConfigurationRoutes(configuration, registry);
		this.status = status;
		this.burn = burn;
		this.registry = registry;
		this.server = Undertow.builder()
			.addHttpListener(address.getPort(), address.getHostString(), new BlockingHandler(this::handle))
			.setIoThreads(1)
			.setWorkerThreads(WORKERS)
			.setServerOption(UndertowOptions.MAX_ENTITY_SIZE, MAX_BODY_BYTES)
			.setServerOption(UndertowOptions.MAX_HEADER_SIZE, MAX_HEADER_BYTES)
			.setServerOption(UndertowOptions.REQUEST_PARSE_TIMEOUT, IDLE_MILLIS)
			.setServerOption(UndertowOptions.NO_REQUEST_TIMEOUT, IDLE_MILLIS)
			.setSocketOption(Options.READ_TIMEOUT, IDLE_MILLIS)
			.setSocketOption(Options.CONNECTION_HIGH_WATER, MAX_CONNECTIONS)
			.setSocketOption(Options.CONNECTION_LOW_WATER, MAX_CONNECTIONS)
			.build();
	}

	/**
	 * Starts the listener.
	 * @param address address to listen on; port 0 selects a free port
	 * @param tokenHash hash of the bearer token, from the settings
	 * @param configuration versions of the configuration
	 * @param status state of this VM
	 * @param burn error-budget counters of this VM
	 * @param registry meter registry of this VM
	 * @return the listener
	 */
	public static OperatorServer start(InetSocketAddress address, String tokenHash, ConfigurationService configuration,
			StatusSource status, BurnSource burn, PrometheusMeterRegistry registry) {
		OperatorServer operator = new OperatorServer(address, tokenHash, configuration, status, burn, registry);
		operator.server.start();
		return operator;
	}

	/**
	 * Returns the port of the listener.
	 * @return the port
	 */
	public int port() {
		return ((InetSocketAddress) this.server.getListenerInfo().get(0).getAddress()).getPort();
	}

	private void handle(HttpServerExchange exchange) throws IOException {
		OperatorReply reply;
		try {
			reply = isAuthorized(exchange.getRequestHeaders().getFirst(Headers.AUTHORIZATION)) ? route(exchange)
					: OperatorReply.error(401, "unauthorized", "the operators' bearer token is missing or invalid");
		}
		catch (RequestTooBigException ex) {
			reply = OperatorReply.error(413, "invalid_request", "the body is larger than " + MAX_BODY_BYTES + " bytes");
		}
		catch (RuntimeException ex) {
			logger.error("operator request {} failed", exchange.getRequestPath(), ex);
			reply = OperatorReply.error(500, "internal", "internal error; see the log of the VM");
		}
		exchange.setStatusCode(reply.status());
		exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, reply.contentType());
		exchange.getOutputStream().write(reply.body().getBytes(StandardCharsets.UTF_8));
	}

	private boolean isAuthorized(@Nullable String header) {
		return header != null && header.startsWith(BEARER)
				&& OperatorToken.matches(header.substring(BEARER.length()), this.tokenHash);
	}

	private OperatorReply route(HttpServerExchange exchange) throws IOException {
		String route = exchange.getRequestMethod() + " " + exchange.getRequestPath();
		return switch (route) {
			case "GET /operator/v1/config" -> this.configuration.get(version(exchange));
			case "PUT /operator/v1/config" ->
				this.configuration.put(exchange.getRequestHeaders().getFirst(Headers.IF_MATCH), body(exchange));
			case "GET /operator/v1/config/status" -> this.configuration.status();
			case "GET /operator/v1/status" -> OperatorReply.json(200, this.status.status());
			case "GET /operator/v1/burn" -> OperatorReply.json(200, this.burn.report());
			case "GET /metrics" ->
				new OperatorReply(200, "text/plain; version=0.0.4; charset=utf-8", this.registry.scrape());
			default -> OperatorReply.error(404, "not_found", "unknown route: " + route);
		};
	}

	private static @Nullable String version(HttpServerExchange exchange) {
		Deque<String> values = exchange.getQueryParameters().get("version");
		return (values != null) ? values.peekFirst() : null;
	}

	private static String body(HttpServerExchange exchange) throws IOException {
		return new String(exchange.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
	}

	/**
	 * Closes the listener.
	 */
	@Override
	public void close() {
		this.server.stop();
	}

}
