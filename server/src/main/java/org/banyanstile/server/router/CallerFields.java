package org.banyanstile.server.router;

import org.jspecify.annotations.Nullable;

/**
 * Header fields of a caller that the router uses.
 *
 * @param attemptId id of this attempt of the caller, {@code null} if absent
 * @param deadlineMillis how long the caller waits, -1 if absent
 * @param apiKey API key, {@code null} if absent
 * @param promptTokens tokens of the prompt, -1 if absent
 * @param maxOutputTokens largest number of generated tokens, -1 if absent
 * @param expectedOutputTokens the caller's estimate of them, -1 if absent
 * @param lastEventId id after which a stream goes on, {@code null} if absent
 * @author banyanstile contributors
 */
public record CallerFields(@Nullable String attemptId, long deadlineMillis, @Nullable String apiKey, long promptTokens,
		long maxOutputTokens, long expectedOutputTokens, @Nullable String lastEventId) {

	/**
	 * Returns whether the caller gave token counts.
	 * @return whether it did
	 */
	public boolean hasTokens() {
		return this.promptTokens >= 0 && this.maxOutputTokens >= 0;
	}

}
