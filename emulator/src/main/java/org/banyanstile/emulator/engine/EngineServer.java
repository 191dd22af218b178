package org.banyanstile.emulator.engine;

import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;
import io.undertow.Handlers;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.RoutingHandler;
import org.banyanstile.core.common.Ticker;
import org.banyanstile.emulator.http.Json;
import org.banyanstile.emulator.http.JsonServer;
import org.banyanstile.io.http.HttpClient;

/**
 * HTTP interface of the engine stand-in.
 *
 * @author banyanstile contributors
 */
public final class EngineServer {

	/** A decode stream, an import and a waiting prefill occupy a worker each. */
	private static final int WORKERS = 128;

	private final Engine engine;

	private final KvTransfer transfer;

	private EngineServer(Engine engine, HttpClient client) {
		this.engine = engine;
		this.transfer = new KvTransfer(engine, client);
	}

	/**
	 * Starts the engine.
	 * @param options address, capacity and speed
	 * @return the running server
	 */
	public static JsonServer start(EngineCommand options) {
		Engine engine = new Engine(options, Ticker.system());
		Thread stepper = new Thread(engine::run, "decode-batch");
		stepper.setDaemon(true);
		stepper.start();
		EngineServer server = new EngineServer(engine, HttpClient.create(1));
		return JsonServer.start(options.listen(), WORKERS, server.routes());
	}

	private RoutingHandler routes() {
		RoutingHandler routes = Handlers.routing();
		post(routes, "/engine/v1/prefill", this::prefill);
		post(routes, "/engine/v1/kv/import", this.transfer::fetch);
		post(routes, "/engine/v1/decode", this::decode);
		post(routes, "/engine/v1/cancel", this::cancel);
		post(routes, "/engine/v1/orders", this::order);
		post(routes, "/faults/v1", this::setFaults);
		routes.get("/engine/v1/kv/{prefillId}", (exchange) -> guarded(exchange,
				() -> this.transfer.export(exchange, Json.parameter(exchange, "prefillId", ""))));
		routes.get("/engine/v1/streams", (exchange) -> Json.send(exchange, 200,
				Map.of("streams", this.engine.batch().streams(this.engine.now()))));
		routes.get("/engine/v1/load", (exchange) -> Json.send(exchange, 200, this.engine.load()));
		routes.get("/engine/v1/stats", (exchange) -> Json.send(exchange, 200, this.engine.stats()));
		return routes;
	}

	private void post(RoutingHandler routes, String path, Action action) {
		routes.post(path, (exchange) -> {
			this.engine.leaks().inspect(exchange);
			JsonNode body = Json.body(exchange);
			this.engine.leaks().inspect(body.toString());
			guarded(exchange, () -> action.run(exchange, body));
		});
	}

	private void guarded(HttpServerExchange exchange, Step step) throws IOException, InterruptedException {
		try {
			step.run();
		}
		catch (EngineRefusal ex) {
			this.engine.crashIfOverloaded();
			Json.error(exchange, ex.status(), String.valueOf(ex.getMessage()));
		}
	}

	private void prefill(HttpServerExchange exchange, JsonNode body) throws EngineRefusal, InterruptedException {
		String prompt = body.path("prompt").asText();
		String id = this.engine.prefill(body.path("requestId").asText(), prompt, body.path("priority").asInt());
		int tokens = EngineText.tokens(prompt);
		Json.send(exchange, 200, Map.of("prefillId", id, "promptTokens", tokens, "kvPieces", KvMemory.pieces(tokens),
				"expiresInMillis", this.engine.prefillExpiryMillis()));
	}

	private void decode(HttpServerExchange exchange, JsonNode body)
			throws EngineRefusal, IOException, InterruptedException {
		DecodeBatch batch = this.engine.batch();
		int offset = body.path("fromOffset").asInt();
		DecodeBatch.Attachment attachment = batch.attach(body.path("requestId").asText(), body.path("holder").asText(),
				body.path("maxTokens").asInt(), this.engine.now());
		Sequence sequence = attachment.sequence();
		LineWriter writer = new LineWriter(exchange);
		while (true) {
			DecodeBatch.Progress progress = batch.await(attachment, offset);
			if (progress.interrupted()) {
				exchange.getConnection().close();
				return;
			}
			for (; offset < progress.generated(); offset++) {
				writer.write(line(sequence, offset, "text", EngineText.word(sequence.digest, offset) + " "));
			}
			if (progress.finish() != null) {
				writer.write(line(sequence, offset, "finish", progress.finish()));
				return;
			}
		}
	}

	private static Map<String, Object> line(Sequence sequence, int offset, String name, String value) {
		Map<String, Object> line = new LinkedHashMap<>();
		line.put("requestId", sequence.requestId);
		line.put("offset", offset);
		line.put(name, value);
		return line;
	}

	private void cancel(HttpServerExchange exchange, JsonNode body) throws EngineRefusal {
		if (!this.engine.cancel(body.path("requestId").asText())) {
			throw new EngineRefusal(404, "unknown request");
		}
		Json.send(exchange, 200, Map.of());
	}

	private void order(HttpServerExchange exchange, JsonNode body) throws EngineRefusal {
		if (!this.engine.acceptOrder(body.path("fencingToken").asLong())) {
			throw new EngineRefusal(412, "stale fencing token");
		}
		Json.send(exchange, 200, Map.of());
	}

	private void setFaults(HttpServerExchange exchange, JsonNode body) {
		this.engine.exportsStalled().set(body.path("stallExports").asBoolean());
		this.engine.makeCold(body.path("coldMillis").asLong());
		Json.send(exchange, 200, Map.of());
	}

	/**
	 * Handles a request with a body.
	 *
	 * @author banyanstile contributors
	 */
	@FunctionalInterface
	private interface Action {

		void run(HttpServerExchange exchange, JsonNode body) throws EngineRefusal, IOException, InterruptedException;

	}

	/**
	 * Handles a request.
	 *
	 * @author banyanstile contributors
	 */
	@FunctionalInterface
	private interface Step {

		void run() throws EngineRefusal, IOException, InterruptedException;

	}

}
