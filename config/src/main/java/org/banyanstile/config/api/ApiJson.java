package org.banyanstile.config.api;

import java.io.UncheckedIOException;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;

/**
 * Reads and writes the messages of the operator interface. Unknown keys are ignored, so
 * that an operator binary works with a newer daemon.
 *
 * @author banyanstile contributors
 */
public final class ApiJson {

	private static final ObjectMapper MAPPER = JsonMapper.builder()
		.disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
		.build();

	private ApiJson() {
	}

	/**
	 * Reads a message.
	 * @param json the JSON text
	 * @param type type of the message
	 * @param <T> type of the message
	 * @return the message
	 * @throws ApiFormatException if the text is not such a message
	 */
	public static <T> T read(String json, Class<T> type) throws ApiFormatException {
		try {
			return MAPPER.readValue(json, type);
		}
		catch (JsonProcessingException ex) {
			throw new ApiFormatException("not a " + type.getSimpleName() + ": " + ex.getOriginalMessage(), ex);
		}
	}

	/**
	 * Writes a message on one line.
	 * @param message the message
	 * @return the JSON text
	 */
	public static String write(Object message) {
		try {
			return MAPPER.writeValueAsString(message);
		}
		catch (JsonProcessingException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	/**
	 * Writes a message indented for readability.
	 * @param message the message
	 * @return the JSON text
	 */
	public static String writeIndented(Object message) {
		try {
			return MAPPER.writerWithDefaultPrettyPrinter().writeValueAsString(message);
		}
		catch (JsonProcessingException ex) {
			throw new UncheckedIOException(ex);
		}
	}

}
