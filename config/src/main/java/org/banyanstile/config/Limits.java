package org.banyanstile.config;

/**
 * Size limits of the requests that the fleet accepts.
 *
 * @param maxPromptTokens largest prompt in tokens
 * @param maxOutputTokens largest {@code max_tokens} of a request
 * @param maxBodyBytes largest request body in bytes
 * @author banyanstile contributors
 */
public record Limits(int maxPromptTokens, int maxOutputTokens, int maxBodyBytes) {

	/**
	 * Returns limits.
	 * @param maxPromptTokens largest prompt in tokens
	 * @param maxOutputTokens largest {@code max_tokens} of a request
	 * @param maxBodyBytes largest request body in bytes
	 * @return the limits
	 */
	public static Limits of(int maxPromptTokens, int maxOutputTokens, int maxBodyBytes) {
		return new Limits(maxPromptTokens, maxOutputTokens, maxBodyBytes);
	}

	/**
	 * Returns the maximum number of tokens that one request can reserve.
	 * @return prompt and output together
	 */
	public long largestRequestTokens() {
		return (long) this.maxPromptTokens + this.maxOutputTokens;
	}

}
