package org.banyanstile.server.caller;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.LinkedHashMap;
import java.util.Map;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;

/**
 * JSON of the HTTP interface for callers.
 *
 * @author banyanstile contributors
 */
final class CallerJson {

	private static final JsonMapper MAPPER = JsonMapper.builder()
		.enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
		.enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
		.build();

	private CallerJson() {
	}

	static byte[] write(Object value) {
		try {
			return MAPPER.writeValueAsBytes(value);
		}
		catch (JsonProcessingException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	static JsonNode read(byte[] body) throws RequestException {
		try {
			JsonNode node = MAPPER.readTree(body);
			if (node != null && node.isObject()) {
				return node;
			}
		}
		catch (IOException ex) {
			// The parser's message could quote the body, so it is not passed on.
		}
		throw RequestException.notRun(ErrorType.INVALID_REQUEST, "the body is not a JSON object");
	}

	static Map<String, Object> error(RequestException ex) {
		Map<String, Object> error = new LinkedHashMap<>();
		error.put("type", ex.type().wireName());
		error.put("message", String.valueOf(ex.getMessage()));
		error.put("run", ex.run().wireName());
		if (ex.retryAfterMillis() >= 0) {
			error.put("retryAfterMillis", ex.retryAfterMillis());
		}
		return Map.of("error", error);
	}

}
