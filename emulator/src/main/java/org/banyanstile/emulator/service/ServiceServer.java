package org.banyanstile.emulator.service;

import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.Methods;
import org.banyanstile.emulator.http.Json;
import org.banyanstile.emulator.http.JsonServer;
import org.banyanstile.emulator.http.KeyLeaks;

/**
 * Plain service: a POST to any path executes an order, a GET is a read-only lookup.
 *
 * @author banyanstile contributors
 */
public final class ServiceServer {

	private static final int WORKERS = 64;

	private final Executions executions = new Executions();

	private final AtomicLong lookups = new AtomicLong();

	private final KeyLeaks leaks = new KeyLeaks();

	private final long latencyMillis;

	private ServiceServer(long latencyMillis) {
		this.latencyMillis = latencyMillis;
	}

	/**
	 * Starts the server.
	 * @param options address and latency
	 * @return the running server
	 */
	public static JsonServer start(ServiceCommand options) {
		return JsonServer.start(options.listen(), WORKERS, new ServiceServer(options.latencyMillis())::handle);
	}

	private void handle(HttpServerExchange exchange) throws Exception {
		if (exchange.getRequestPath().equals("/stats")) {
			Json.send(exchange, 200, stats());
			return;
		}
		this.leaks.inspect(exchange);
		String body = new String(exchange.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
		this.leaks.inspect(body);
		if (exchange.getRequestMethod().equals(Methods.POST)) {
			execute(exchange, body);
		}
		else {
			this.lookups.incrementAndGet();
			Thread.sleep(this.latencyMillis);
			Json.send(exchange, 200, Map.of("path", exchange.getRequestPath(), "team", header(exchange, "X-Team")));
		}
	}

	private void execute(HttpServerExchange exchange, String body) throws InterruptedException {
		// Counted before the delay: an order whose connection breaks has still been
		// executed.
		long number = this.executions.add(header(exchange, "Idempotency-Key"));
		Thread.sleep(this.latencyMillis);
		Json.send(exchange, 201, Map.of("order", number, "path", exchange.getRequestPath(), "team",
				header(exchange, "X-Team"), "echo", body));
	}

	private static String header(HttpServerExchange exchange, String name) {
		String value = exchange.getRequestHeaders().getFirst(name);
		return (value != null) ? value : "";
	}

	private Map<String, Object> stats() {
		Map<String, Object> stats = new LinkedHashMap<>(this.executions.report());
		stats.put("lookups", this.lookups.get());
		stats.put("authorizationSeen", this.leaks.authorizations());
		stats.put("keysSeen", this.leaks.keys());
		return stats;
	}

}
