package org.banyanstile.server.caller;

import java.io.IOException;
import java.nio.charset.StandardCharsets;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import org.jspecify.annotations.Nullable;

/**
 * A request that was read completely and whose API key was checked.
 *
 * @param exchange the exchange
 * @param configuration the configuration that the key was checked against
 * @param caller team and key, or {@code null} on an open route
 * @param presentedKey the presented API key, which must not be forwarded
 * @param body the body
 * @param idempotencyKey the idempotency key, or {@code null}
 * @param lastEventId offset of the last event that the caller received, -1 for none
 * @param deadlineMillis maximum time that the caller waits
 * @author banyanstile contributors
 */
record CallerRequest(HttpServerExchange exchange, ServingConfiguration configuration, @Nullable Caller caller,
		@Nullable String presentedKey, byte[] body, @Nullable String idempotencyKey, long lastEventId,
		long deadlineMillis) {

	private static final HttpString IDEMPOTENCY_KEY = new HttpString("Idempotency-Key");

	private static final HttpString LAST_EVENT_ID = new HttpString("Last-Event-ID");

	private static final HttpString DEADLINE = new HttpString("X-Deadline-Ms");

	private static final String BEARER_PREFIX = "Bearer ";

	private static final int MAX_IDEMPOTENCY_KEY_LENGTH = 256;

	private static final long MAX_DEADLINE_MILLIS = 600_000;

	static CallerRequest read(HttpServerExchange exchange, ServingConfiguration configuration, boolean open)
			throws RequestException, IOException {
		String key = presentedKey(exchange);
		Caller caller = (key != null) ? configuration.authenticate(key) : null;
		if (caller == null && (key != null || !open)) {
			throw RequestException.notRun(ErrorType.UNAUTHORIZED, "no active API key was presented");
		}
		byte[] body = RequestBody.read(exchange, configuration.limits().maxBodyBytes());
		KeyScrubber.requireAbsent(body, key);
		return new CallerRequest(exchange, configuration, caller, key, body, idempotencyKey(exchange),
				number(exchange, LAST_EVENT_ID, -1, Integer.MAX_VALUE),
				number(exchange, DEADLINE, MAX_DEADLINE_MILLIS, MAX_DEADLINE_MILLIS));
	}

	private static @Nullable String presentedKey(HttpServerExchange exchange) {
		String value = exchange.getRequestHeaders().getFirst(Headers.AUTHORIZATION);
		return (value != null && value.startsWith(BEARER_PREFIX)) ? value.substring(BEARER_PREFIX.length()).strip()
				: null;
	}

	private static @Nullable String idempotencyKey(HttpServerExchange exchange) throws RequestException {
		String value = exchange.getRequestHeaders().getFirst(IDEMPOTENCY_KEY);
		if (value != null && (value.isBlank() || value.length() > MAX_IDEMPOTENCY_KEY_LENGTH)) {
			throw RequestException.notRun(ErrorType.INVALID_REQUEST,
					"Idempotency-Key must have 1 to " + MAX_IDEMPOTENCY_KEY_LENGTH + " characters");
		}
		return value;
	}

	private static long number(HttpServerExchange exchange, HttpString header, long absent, long max)
			throws RequestException {
		String value = exchange.getRequestHeaders().getFirst(header);
		if (value == null) {
			return absent;
		}
		try {
			long number = Long.parseLong(value.strip());
			if (number >= 0) {
				return Math.min(number, max);
			}
		}
		catch (NumberFormatException ex) {
			// Reported below, like a negative number.
		}
		throw RequestException.notRun(ErrorType.INVALID_REQUEST, header + " must be an integer of at least 0");
	}

	/**
	 * Returns the hash of team and body, the same for every repeated request.
	 * @return the hash in hexadecimal
	 */
	String fingerprint() {
		Caller present = this.caller;
		String team = (present != null) ? present.team().name() : "";
		return Hashes.sha256(team.getBytes(StandardCharsets.UTF_8), this.body);
	}

}
