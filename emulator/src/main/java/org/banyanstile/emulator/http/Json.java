package org.banyanstile.emulator.http;

import java.io.IOException;
import java.util.Deque;
import java.util.Map;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;

/**
 * Reads and writes JSON bodies.
 *
 * @author banyanstile contributors
 */
public final class Json {

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private Json() {
	}

	/**
	 * Parses JSON text.
	 * @param text the text
	 * @return the value
	 * @throws JsonProcessingException if the text is not JSON
	 */
	public static JsonNode parse(String text) throws JsonProcessingException {
		return MAPPER.readTree(text);
	}

	/**
	 * Formats a value as JSON text.
	 * @param value a map, list, record or scalar
	 * @return the text, without line feeds
	 */
	public static String text(Object value) {
		try {
			return MAPPER.writeValueAsString(value);
		}
		catch (JsonProcessingException ex) {
			throw new IllegalArgumentException("value has no JSON form", ex);
		}
	}

	/**
	 * Reads the body of a request.
	 * @param exchange the exchange
	 * @return the body, an empty object if there is none
	 * @throws IOException if the connection broke or the body is not JSON
	 */
	public static JsonNode body(HttpServerExchange exchange) throws IOException {
		JsonNode body = MAPPER.readTree(exchange.getInputStream());
		return body.isMissingNode() ? MAPPER.createObjectNode() : body;
	}

	/**
	 * Sends a response with a JSON body.
	 * @param exchange the exchange
	 * @param status the status code
	 * @param value the body
	 */
	public static void send(HttpServerExchange exchange, int status, Object value) {
		exchange.setStatusCode(status);
		exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
		exchange.getResponseSender().send(text(value));
	}

	/**
	 * Sends an error response.
	 * @param exchange the exchange
	 * @param status the status code
	 * @param message the value of the field {@code error}
	 */
	public static void error(HttpServerExchange exchange, int status, String message) {
		send(exchange, status, Map.of("error", message));
	}

	/**
	 * Returns a parameter of the query or of the path.
	 * @param exchange the exchange
	 * @param name name of the parameter
	 * @param fallback value if the parameter is absent
	 * @return the value
	 */
	public static String parameter(HttpServerExchange exchange, String name, String fallback) {
		Deque<String> values = exchange.getQueryParameters().get(name);
		return (values != null) ? values.getFirst() : fallback;
	}

}
