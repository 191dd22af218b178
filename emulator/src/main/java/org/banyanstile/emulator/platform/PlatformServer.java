package org.banyanstile.emulator.platform;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;
import io.undertow.Handlers;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import org.banyanstile.core.common.Ticker;
import org.banyanstile.core.store.Condition;
import org.banyanstile.core.store.Row;
import org.banyanstile.core.store.Transaction;
import org.banyanstile.core.store.TransactionResult;
import org.banyanstile.core.store.Write;
import org.banyanstile.emulator.http.Json;
import org.banyanstile.emulator.http.JsonServer;
import org.jspecify.annotations.Nullable;

/**
 * HTTP interface of the table service and the VM list.
 *
 * @author banyanstile contributors
 */
public final class PlatformServer {

	private static final int WORKERS = 64;

	private static final int DEFAULT_SCAN = 1000;

	private final Ticker ticker;

	private final Table table = new Table();

	private final TableFaults faults = new TableFaults();

	private final LaggingVmList vms;

	private final RateLimit writes;

	private final RateLimit reads;

	PlatformServer(PlatformCommand options, Ticker ticker) {
		this.ticker = ticker;
		this.vms = new LaggingVmList(options.listLagNanos());
		this.writes = new RateLimit(options.writesPerSecond(), ticker.nanos());
		this.reads = new RateLimit(options.readsPerSecond(), ticker.nanos());
	}

	/**
	 * Starts the server.
	 * @param options address, limits and lag
	 * @return the running server
	 */
	public static JsonServer start(PlatformCommand options) {
		PlatformServer platform = new PlatformServer(options, Ticker.system());
		HttpHandler routes = Handlers.routing()
			.post("/tables/v1/transact", platform::transact)
			.post("/tables/v1/read", platform::read)
			.get("/tables/v1/scan", platform::scan)
			.get("/vms/v1/list", platform::list)
			.post("/vms/v1/list", platform::put)
			.post("/faults/v1", platform::setFaults);
		return JsonServer.start(options.listen(), WORKERS, routes);
	}

	private void transact(HttpServerExchange exchange) throws Exception {
		JsonNode body = Json.body(exchange);
		List<Condition> conditions = new ArrayList<>();
		body.path("conditions")
			.forEach((c) -> conditions.add(new Condition(c.path("key").asText(), c.path("version").asLong())));
		List<Write> changes = new ArrayList<>();
		body.path("writes").forEach((w) -> changes.add(new Write(w.path("key").asText(), value(w.get("value")))));
		Transaction transaction = new Transaction(body.path("operationId").asText(), conditions, changes);
		call(exchange, this.writes, () -> {
			TransactionResult result = this.table.transact(transaction);
			if (result instanceof TransactionResult.Committed committed) {
				return new Reply(200, Map.of("versions", committed.versions()));
			}
			return new Reply(409, Map.of("rows", ((TransactionResult.Conflict) result).current()));
		});
	}

	private static @Nullable String value(@Nullable JsonNode node) {
		return (node == null || node.isNull()) ? null : node.asText();
	}

	private void read(HttpServerExchange exchange) throws Exception {
		List<String> keys = new ArrayList<>();
		Json.body(exchange).path("keys").forEach((key) -> keys.add(key.asText()));
		call(exchange, this.reads, () -> rows(this.table.read(keys)));
	}

	private void scan(HttpServerExchange exchange) throws Exception {
		String prefix = Json.parameter(exchange, "prefix", "");
		int limit = Integer.parseInt(Json.parameter(exchange, "limit", String.valueOf(DEFAULT_SCAN)));
		call(exchange, this.reads, () -> rows(this.table.scan(prefix, limit)));
	}

	private static Reply rows(List<Row> rows) {
		return new Reply(200, Map.of("rows", rows));
	}

	private void call(HttpServerExchange exchange, RateLimit limit, Operation operation) throws Exception {
		TableFaults.Fault fault = this.faults.next();
		if (fault.refused()) {
			Json.error(exchange, 503, "unavailable");
			return;
		}
		if (!limit.tryAcquire(this.ticker.nanos())) {
			Json.error(exchange, 429, "throttled");
			return;
		}
		Thread.sleep(fault.delayBefore());
		Reply reply = operation.run();
		Thread.sleep(fault.delayAfter());
		if (fault.replyLost()) {
			exchange.getConnection().close();
			return;
		}
		Json.send(exchange, reply.status(), reply.body());
	}

	private void list(HttpServerExchange exchange) {
		Json.send(exchange, 200, Map.of("vms", this.vms.visible(this.ticker.nanos())));
	}

	private void put(HttpServerExchange exchange) throws Exception {
		JsonNode body = Json.body(exchange);
		this.vms.put(new LaggingVmList.Vm(body.path("name").asText(), body.path("address").asText(),
				body.path("state").asText("live")), this.ticker.nanos());
		Json.send(exchange, 200, Map.of());
	}

	private void setFaults(HttpServerExchange exchange) throws Exception {
		JsonNode body = Json.body(exchange);
		try {
			this.faults.set(TableFaults.Mode.of(body.path("tables").asText("up")),
					body.path("delayMillis").asLong(1000), body.path("lossFraction").asDouble(1),
					body.path("seed").asLong(1));
			Json.send(exchange, 200, Map.of());
		}
		catch (IllegalArgumentException ex) {
			Json.error(exchange, 400, String.valueOf(ex.getMessage()));
		}
	}

	/**
	 * Reply of an operation.
	 *
	 * @param status the status code
	 * @param body the body
	 * @author banyanstile contributors
	 */
	private record Reply(int status, Object body) {
	}

	/**
	 * An operation on the table.
	 *
	 * @author banyanstile contributors
	 */
	@FunctionalInterface
	private interface Operation {

		Reply run();

	}

}
