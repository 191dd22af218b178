package org.banyanstile.server.endpoint;

import java.io.UncheckedIOException;
import java.util.Map;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;

/**
 * JSON of the endpoint protocols. Unknown members are ignored, since endpoints may be
 * newer than this router.
 *
 * @author banyanstile contributors
 */
final class EndpointJson {

	private static final JsonMapper MAPPER = JsonMapper.builder()
		.disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
		.build();

	private EndpointJson() {
	}

	static String write(Map<String, ?> members) {
		try {
			return MAPPER.writeValueAsString(members);
		}
		catch (JsonProcessingException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	static JsonNode read(String text) throws EndpointBrokenException {
		try {
			JsonNode node = MAPPER.readTree(text);
			if (node == null || !node.isObject()) {
				throw new EndpointBrokenException("endpoint sent no JSON object", null);
			}
			return node;
		}
		catch (JsonProcessingException ex) {
			throw new EndpointBrokenException("endpoint sent malformed JSON", ex);
		}
	}

	static <T> T convert(JsonNode node, Class<T> type) throws EndpointBrokenException {
		try {
			return MAPPER.treeToValue(node, type);
		}
		catch (JsonProcessingException ex) {
			throw new EndpointBrokenException("endpoint sent JSON that does not match the protocol", ex);
		}
	}

}
