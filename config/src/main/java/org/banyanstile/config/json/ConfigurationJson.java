package org.banyanstile.config.json;

import java.io.UncheckedIOException;
import java.util.List;

import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import org.banyanstile.config.FleetConfiguration;
import org.banyanstile.config.VmSettings;

/**
 * Reads and writes the configuration and the settings as JSON.
 *
 * @author banyanstile contributors
 */
public final class ConfigurationJson {

	private static final ObjectMapper MAPPER = JsonMapper.builder()
		.enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
		.enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES, DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
		.build();

	private static final Schema CONFIGURATION_SCHEMA = Schema.load("fleet-configuration.schema.json");

	private static final Schema SETTINGS_SCHEMA = Schema.load("vm-settings.schema.json");

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
		FleetConfiguration configuration = read(file, json, CONFIGURATION_SCHEMA, FleetConfiguration.class);
		requireNone(ConfigurationChecks.check(file, configuration));
		return configuration;
	}

	/**
	 * Reads the settings of a VM.
	 * @param file name of the source, for messages
	 * @param json the JSON text
	 * @return the settings
	 * @throws ConfigurationException if the text is not valid settings
	 */
	public static VmSettings readSettings(String file, String json) throws ConfigurationException {
		VmSettings settings = read(file, json, SETTINGS_SCHEMA, VmSettings.class);
		requireNone(Addresses.check(file, settings));
		return settings;
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
	 * Writes a configuration indented for readability.
	 * @param configuration the configuration
	 * @return the JSON text
	 */
	public static String writeIndented(FleetConfiguration configuration) {
		return write(MAPPER.copy().enable(SerializationFeature.INDENT_OUTPUT), configuration);
	}

	/**
	 * Writes the settings of a VM indented for readability.
	 * @param settings the settings
	 * @return the JSON text
	 */
	public static String writeIndented(VmSettings settings) {
		return write(MAPPER.copy().enable(SerializationFeature.INDENT_OUTPUT), settings);
	}

	private static <T> T read(String file, String json, Schema schema, Class<T> type) throws ConfigurationException {
		try {
			JsonNode document = MAPPER.readTree(json);
			requireNone(schema.validate(file, document));
			return MAPPER.treeToValue(document, type);
		}
		catch (JsonProcessingException ex) {
			JsonLocation location = ex.getLocation();
			String position = (location != null) ? "line " + location.getLineNr() + ", column " + location.getColumnNr()
					: "?";
			throw new ConfigurationException(
					List.of(new Problem(file, "$", position, "must be JSON: " + ex.getOriginalMessage())));
		}
	}

	private static void requireNone(List<Problem> problems) throws ConfigurationException {
		if (!problems.isEmpty()) {
			throw new ConfigurationException(problems);
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
