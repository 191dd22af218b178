package org.banyanstile.emulator.load;

import java.util.Set;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import org.banyanstile.emulator.http.Json;

/**
 * Error response of the deployment.
 *
 * @param type the error type
 * @param run what is known about the execution
 * @param retryAfterMillis time after which to retry, 0 if none was given
 * @author banyanstile contributors
 */
public record Refusal(String type, String run, long retryAfterMillis) {

	private static final Set<String> RETRYABLE = Set.of("rate_limited", "overloaded", "not_serving",
			"store_unavailable", "superseded", "connection");

	/**
	 * Reads an error body.
	 * @param status the status code
	 * @param body the body
	 * @return the refusal
	 */
	public static Refusal parse(int status, String body) {
		try {
			JsonNode error = Json.parse(body).path("error");
			return new Refusal(error.path("type").asText("status_" + status), error.path("run").asText(""),
					error.path("retryAfterMillis").asLong());
		}
		catch (JsonProcessingException ex) {
			return new Refusal("status_" + status, "", 0);
		}
	}

	/**
	 * Returns the refusal that stands for a failed connection.
	 * @return the refusal
	 */
	public static Refusal connection() {
		return new Refusal("connection", "", 0);
	}

	/**
	 * Returns whether a retry with the same idempotency key can succeed. A rate-limited
	 * request without a retry time is larger than the team's burst.
	 * @return whether to retry
	 */
	public boolean isRetryable() {
		return RETRYABLE.contains(this.type) && (!this.type.equals("rate_limited") || this.retryAfterMillis > 0);
	}

}
