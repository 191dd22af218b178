package org.banyanstile.server.router;

import java.util.Map;

import org.jspecify.annotations.Nullable;

/**
 * Request whose treatment is explained. It has the name of a team in place of a key,
 * since keys are not sent to be explained.
 *
 * @param host host name without port
 * @param path path without query
 * @param team name of the team, {@code null} for none
 * @param promptTokens tokens of the prompt, 0 for a plain call
 * @param outputTokens expected output tokens
 * @author banyanstile contributors
 */
record ExplainedRequest(String host, String path, @Nullable String team, long promptTokens, long outputTokens) {

	/**
	 * Reads a request from the parameters of a query.
	 * @param parameters {@code host}, {@code path}, {@code team}, {@code promptTokens}
	 * and {@code outputTokens}
	 * @return the request
	 * @throws IllegalArgumentException if a parameter is missing or malformed
	 */
	static ExplainedRequest of(Map<String, String> parameters) {
		return new ExplainedRequest(required(parameters, "host"), required(parameters, "path"), parameters.get("team"),
				tokens(parameters, "promptTokens"), tokens(parameters, "outputTokens"));
	}

	private static String required(Map<String, String> parameters, String name) {
		String value = parameters.get(name);
		if (value == null || value.isEmpty()) {
			throw new IllegalArgumentException("parameter " + name + " is missing");
		}
		return value;
	}

	private static long tokens(Map<String, String> parameters, String name) {
		String value = parameters.getOrDefault(name, "0");
		try {
			return Math.max(0, Long.parseLong(value));
		}
		catch (NumberFormatException ex) {
			throw new IllegalArgumentException("parameter " + name + " is not a number of tokens: " + value, ex);
		}
	}

}
