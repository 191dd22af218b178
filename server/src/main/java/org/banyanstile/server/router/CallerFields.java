package org.banyanstile.server.router;

import java.util.List;

import org.jspecify.annotations.Nullable;

/**
 * Header fields of a caller's request that the router uses.
 *
 * @param attemptId id that the caller gave to this attempt, {@code null} if absent
 * @param deadlineMillis how long the caller waits for the response, -1 if absent
 * @param apiKey API key, {@code null} if absent
 * @param model name of the model, {@code null} if absent
 * @param promptTokens tokens of the prompt, -1 if absent
 * @param maxOutputTokens maximum number of generated tokens, -1 if absent
 * @param expectedOutputTokens the caller's estimate of the generated tokens, -1 if absent
 * @param lastEventId id of the event after which a stream is resumed, {@code null} if
 * absent
 * @param resumedAttempt id of the attempt that brought the first event of the stream that
 * is resumed, {@code null} if absent
 * @param sharedParts ids of the parts of the prompt that other prompts may have as well,
 * in order; the last part of a prompt is not among them
 * @author banyanstile contributors
 */
public record CallerFields(@Nullable String attemptId, long deadlineMillis, @Nullable String apiKey,
		@Nullable String model, long promptTokens, long maxOutputTokens, long expectedOutputTokens,
		@Nullable String lastEventId, @Nullable String resumedAttempt, List<String> sharedParts) {

	/**
	 * Returns whether the request has token counts.
	 * @return whether it has
	 */
	public boolean hasTokens() {
		return this.promptTokens >= 0 && this.maxOutputTokens >= 0;
	}

}
