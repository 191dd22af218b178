package org.banyanstile.emulator.engine;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import org.banyanstile.emulator.http.Json;

/**
 * Writes newline-delimited JSON and flushes each line.
 *
 * @author banyanstile contributors
 */
final class LineWriter {

	private final OutputStream out;

	LineWriter(HttpServerExchange exchange) {
		exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/x-ndjson");
		this.out = exchange.getOutputStream();
	}

	void write(Map<String, ?> value) throws IOException {
		this.out.write((Json.text(value) + "\n").getBytes(StandardCharsets.UTF_8));
		this.out.flush();
	}

}
