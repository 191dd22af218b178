package org.banyanstile.server.caller;

import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import org.banyanstile.config.key.PresentedKey;
import org.jspecify.annotations.Nullable;

/**
 * Removes the caller's API key from what is sent to an endpoint.
 *
 * @author banyanstile contributors
 */
final class KeyScrubber {

	/**
	 * The only header fields that are forwarded. All others, and trailers, are dropped.
	 */
	private static final List<HttpString> FORWARDED_HEADERS = List.of(Headers.CONTENT_TYPE, Headers.ACCEPT,
			Headers.ACCEPT_LANGUAGE);

	private KeyScrubber() {
	}

	static Map<String, String> headers(HttpServerExchange exchange, @Nullable String key) {
		Map<String, String> headers = new LinkedHashMap<>();
		for (HttpString name : FORWARDED_HEADERS) {
			String value = exchange.getRequestHeaders().getFirst(name);
			if (value != null && !contains(value, key)) {
				headers.put(name.toString(), value);
			}
		}
		return headers;
	}

	static String query(String query, @Nullable String key) {
		return Arrays.stream(query.split("&"))
			.filter((part) -> !part.isEmpty() && !contains(part, key) && !contains(decoded(part), key))
			.collect(Collectors.joining("&"));
	}

	static void requireAbsent(byte[] body, @Nullable String key) throws RequestException {
		if (contains(new String(body, StandardCharsets.UTF_8), key)) {
			throw RequestException.notRun(ErrorType.INVALID_REQUEST, "the body contains the caller's API key");
		}
	}

	private static String decoded(String text) {
		try {
			return URLDecoder.decode(text, StandardCharsets.UTF_8);
		}
		catch (IllegalArgumentException ex) {
			return text;
		}
	}

	private static boolean contains(String text, @Nullable String key) {
		if (key == null) {
			return false;
		}
		return text.contains(key)
				|| PresentedKey.parse(key).filter((parsed) -> text.contains(parsed.secret())).isPresent();
	}

}
