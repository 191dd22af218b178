package org.banyanstile.server.platform;

import java.util.Map;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.type.TypeReference;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.banyanstile.core.store.RowCodec;

/**
 * Encodes and decodes row values as JSON with Jackson.
 *
 * @author banyanstile contributors
 */
public final class JsonRowCodec implements RowCodec {

	private static final TypeReference<Map<String, Object>> FIELDS = new TypeReference<>() {
	};

	private final ObjectMapper mapper = new ObjectMapper();

	@Override
	public String encode(Map<String, Object> fields) {
		try {
			return this.mapper.writeValueAsString(fields);
		}
		catch (JsonProcessingException ex) {
			throw new IllegalArgumentException("fields cannot be serialized as JSON", ex);
		}
	}

	@Override
	public Map<String, Object> decode(String value) {
		try {
			return this.mapper.readValue(value, FIELDS);
		}
		catch (JsonProcessingException ex) {
			throw new IllegalArgumentException("row is not a JSON object", ex);
		}
	}

}
