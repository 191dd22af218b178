package org.banyanstile.emulator.process;

import java.time.Duration;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.TextNode;
import org.banyanstile.emulator.http.Json;
import org.banyanstile.io.http.HttpClient;
import org.banyanstile.io.http.HttpException;
import org.banyanstile.io.http.HttpRequest;
import org.banyanstile.io.http.HttpResponse;

/**
 * HTTP calls whose responses are JSON.
 *
 * @author banyanstile contributors
 */
public final class JsonCalls implements AutoCloseable {

	private static final int MAX_BODY_BYTES = 4 << 20;

	private static final Duration TIMEOUT = Duration.ofSeconds(10);

	private final HttpClient client = HttpClient.create(1);

	/**
	 * Sends a request without a body.
	 * @param address address as {@code ip:port}
	 * @param path path with query
	 * @return the response
	 * @throws HttpException if there was no response
	 */
	public Response get(String address, String path) throws HttpException {
		return send(HttpRequest.get(address, path));
	}

	/**
	 * Sends a request with a body.
	 * @param address address as {@code ip:port}
	 * @param path path with query
	 * @param body the body
	 * @return the response
	 * @throws HttpException if there was no response
	 */
	public Response post(String address, String path, Object body) throws HttpException {
		return send(HttpRequest.postJson(address, path, Json.text(body)));
	}

	/**
	 * Sends a request.
	 * @param request the request
	 * @return the response
	 * @throws HttpException if there was no response
	 */
	public Response send(HttpRequest request) throws HttpException {
		try (HttpResponse response = this.client.send(request.withTimeout(TIMEOUT).withFreshConnection())) {
			String text = response.text(MAX_BODY_BYTES);
			return new Response(response.status(), json(text));
		}
	}

	private static JsonNode json(String text) {
		try {
			return Json.parse(text);
		}
		catch (JsonProcessingException ex) {
			return TextNode.valueOf(text);
		}
	}

	/**
	 * Returns the client.
	 * @return the client
	 */
	public HttpClient client() {
		return this.client;
	}

	@Override
	public void close() {
		this.client.close();
	}

	/**
	 * A response.
	 *
	 * @param status the status code
	 * @param body the body, a text node if it is not JSON
	 * @author banyanstile contributors
	 */
	public record Response(int status, JsonNode body) {

	}

}
