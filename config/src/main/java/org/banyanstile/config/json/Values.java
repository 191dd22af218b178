package org.banyanstile.config.json;

import java.util.Set;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Formats values for messages: shortened, and without secrets.
 *
 * @author banyanstile contributors
 */
final class Values {

	private static final int MAX_CHARS = 80;

	private static final Set<String> SECRETS = Set.of("salt", "hash", "fleetKey", "operatorTokenHash");

	private Values() {
	}

	static String print(String path, JsonNode value) {
		if (SECRETS.contains(path.substring(path.lastIndexOf('.') + 1))) {
			return "***";
		}
		if (value.isContainerNode()) {
			// An object can contain secrets at any depth.
			return value.isArray() ? "an array" : "an object";
		}
		String text = value.toString();
		return (text.length() <= MAX_CHARS) ? text : text.substring(0, MAX_CHARS) + "...";
	}

	static String quote(String text) {
		String value = (text.length() <= MAX_CHARS) ? text : text.substring(0, MAX_CHARS) + "...";
		return '"' + value + '"';
	}

}
