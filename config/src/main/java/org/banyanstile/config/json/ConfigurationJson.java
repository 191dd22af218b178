package org.banyanstile.config.json;

import java.io.UncheckedIOException;
import java.util.List;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import org.banyanstile.config.FleetConfiguration;
import org.banyanstile.config.VmSettings;

/**
 * Reads and writes the JSON forms of the configuration and the settings.
 *
 * @author banyanstile contributors
 */
public final class ConfigurationJson {

	private static final ObjectMapper MAPPER = JsonMapper.builder()
		.enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
		.enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES, DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
		.build();

	private ConfigurationJson() {
	}

	/**
	 * Reads a configuration.
	 * @param file name of the source, for messages
	 * @param json the JSON text
	 * @return the configuration
	 * @throws ConfigurationException if the text is not a valid configuration
	 */
	public static FleetConfiguration readConfiguration(String file, String json) throws ConfigurationException {
		return read(file, json, FleetConfiguration.class);
	}

	/**
	 * Reads the settings of a VM.
	 * @param file name of the source, for messages
	 * @param json the JSON text
	 * @return the settings
	 * @throws ConfigurationException if the text is not valid settings
	 */
	public static VmSettings readSettings(String file, String json) throws ConfigurationException {
		return read(file, json, VmSettings.class);
	}

	/**
	 * Writes a configuration on one line.
	 * @param configuration the configuration
	 * @return the JSON text
	 */
	public static String write(FleetConfiguration configuration) {
		return write(MAPPER, configuration);
	}

	/**
	 * Writes a configuration indented for people.
	 * @param configuration the configuration
	 * @return the JSON text
	 */
	public static String writeIndented(FleetConfiguration configuration) {
		return write(MAPPER.copy().enable(SerializationFeature.INDENT_OUTPUT), configuration);
	}

	/**
	 * Writes the settings of a VM indented for people.
	 * @param settings the settings
	 * @return the JSON text
	 */
	public static String writeIndented(VmSettings settings) {
		return write(MAPPER.copy().enable(SerializationFeature.INDENT_OUTPUT), settings);
	}

	private static <T> T read(String file, String json, Class<T> type) throws ConfigurationException {
		try {
			return MAPPER.readValue(json, type);
		}
		catch (JsonProcessingException ex) {
			throw new ConfigurationException(List.of(new Problem(file, "$", "?", ex.getOriginalMessage())));
		}
	}

	private static String write(ObjectMapper mapper, Object value) {
		try {
			return mapper.writeValueAsString(value);
		}
		catch (JsonProcessingException ex) {
			throw new UncheckedIOException(ex);
		}
	}

}
