package org.banyanstile.server.caller;

import java.util.List;

/**
 * Complete response to a request for generated text.
 *
 * @param bodyHash SHA-256 of the request body, in hexadecimal
 * @param tokens text of each token
 * @param finish {@code stop} or {@code length}
 * @author banyanstile contributors
 */
record CachedResponse(String bodyHash, List<String> tokens, String finish) {

	/**
	 * Memory of a token in addition to its characters: string, array and reference.
	 */
	private static final int TOKEN_OVERHEAD_BYTES = 56;

	long bytes() {
		long bytes = 2L * this.bodyHash.length();
		for (String token : this.tokens) {
			bytes += TOKEN_OVERHEAD_BYTES + 2L * token.length();
		}
		return bytes;
	}

}
