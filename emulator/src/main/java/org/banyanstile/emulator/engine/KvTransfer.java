package org.banyanstile.emulator.engine;

import java.io.IOException;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.JsonNode;
import io.undertow.server.HttpServerExchange;
import org.banyanstile.emulator.http.Json;
import org.banyanstile.io.http.HttpClient;
import org.banyanstile.io.http.HttpException;
import org.banyanstile.io.http.HttpRequest;
import org.banyanstile.io.http.HttpResponse;

/**
 * Transfers KV pieces from the prefill engine to the decode engine, which fetches them.
 *
 * @author banyanstile contributors
 */
final class KvTransfer {

	private static final int MAX_LINE_BYTES = 4 << 20;

	private static final Duration STALL_TIMEOUT = Duration.ofSeconds(3);

	/** Payload of a piece. Its size does not affect the rate, which the link limits. */
	private static final String FILLER = "k".repeat(256);

	private final Engine engine;

	private final HttpClient client;

	KvTransfer(Engine engine, HttpClient client) {
		this.engine = engine;
		this.client = client;
	}

	/**
	 * Sends the pieces of a prefill result.
	 * @param exchange the exchange
	 * @param prefillId identifier of the result
	 * @throws EngineRefusal if the result has expired
	 * @throws IOException if the connection broke
	 * @throws InterruptedException if interrupted
	 */
	void export(HttpServerExchange exchange, String prefillId) throws EngineRefusal, IOException, InterruptedException {
		String prompt = this.engine.prefills().beginExport(prefillId, this.engine.now());
		boolean complete = false;
		try {
			LineWriter writer = new LineWriter(exchange);
			int pieces = KvMemory.pieces(EngineText.tokens(prompt));
			writer.write(Map.of("prompt", prompt, "pieces", pieces));
			for (int i = 1; i <= pieces; i++) {
				while (this.engine.exportsStalled().get()) {
					TimeUnit.MILLISECONDS.sleep(10);
				}
				TimeUnit.NANOSECONDS.sleep(this.engine.exportLink().queue(this.engine.now()));
				writer.write(Map.of("piece", i, "data", FILLER));
			}
			complete = true;
		}
		finally {
			this.engine.prefills().endExport(prefillId, complete);
		}
	}

	/**
	 * Fetches the pieces of a prefill result from another engine and reports the
	 * progress.
	 * @param exchange the exchange
	 * @param body the request
	 * @throws EngineRefusal if no slot or memory is free for the request
	 * @throws IOException if the connection to the caller broke
	 * @throws InterruptedException if interrupted
	 */
	void fetch(HttpServerExchange exchange, JsonNode body) throws EngineRefusal, IOException, InterruptedException {
		HttpRequest request = HttpRequest
			.get(body.path("source").asText(), "/engine/v1/kv/" + body.path("prefillId").asText())
			.withTimeout(STALL_TIMEOUT);
		try (HttpResponse response = this.client.send(request)) {
			if (response.status() != 200) {
				new LineWriter(exchange).write(Map.of("error", "expired"));
				return;
			}
			JsonNode head = next(response);
			Sequence sequence = this.engine.batch()
				.beginImport(body.path("requestId").asText(), body.path("holder").asText(),
						head.path("prompt").asText(), this.engine.now());
			boolean complete = false;
			try {
				LineWriter writer = new LineWriter(exchange);
				receive(response, head.path("pieces").asInt(), writer);
				complete = this.engine.batch().endImport(sequence, true, this.engine.now());
				writer.write(complete ? Map.of("done", true) : Map.of("error", "cancelled"));
			}
			finally {
				if (!complete) {
					this.engine.batch().endImport(sequence, false, this.engine.now());
				}
			}
		}
		catch (HttpException ex) {
			new LineWriter(exchange).write(Map.of("error", "source failed"));
		}
	}

	private void receive(HttpResponse response, int pieces, LineWriter writer)
			throws HttpException, IOException, InterruptedException {
		for (int i = 1; i <= pieces; i++) {
			next(response);
			TimeUnit.NANOSECONDS.sleep(this.engine.importLink().queue(this.engine.now()));
			writer.write(Map.of("pieces", i, "of", pieces));
		}
	}

	private static JsonNode next(HttpResponse response) throws HttpException, IOException {
		String line = response.line(MAX_LINE_BYTES);
		if (line == null) {
			throw new IOException("KV transfer ended before the last piece");
		}
		return Json.parse(line);
	}

}
