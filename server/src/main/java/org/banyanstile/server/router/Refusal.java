package org.banyanstile.server.router;

import org.banyanstile.core.attempt.ResponseBinding;
import org.jspecify.annotations.Nullable;

/**
 * Response that refuses a request before it ran, and what binds it to the request.
 *
 * @param status its status
 * @param requestId id of the request, {@code null} if the caller gave it none
 * @param responseId id in the response, {@code null} if absent
 * @param exchange position of the exchange on its connection, 1 for the first
 * @author banyanstile contributors
 */
record Refusal(int status, @Nullable String requestId, @Nullable String responseId, int exchange) {

	/**
	 * Returns whether the response proves that the request did not run.
	 * @return whether it does
	 */
	boolean isProof() {
		return ResponseBinding.provesRefusal(this.requestId, this.responseId, this.exchange == 1);
	}

	@Override
	public String toString() {
		return "refused with " + this.status + ", " + idText() + ", exchange " + this.exchange + " of its connection";
	}

	private String idText() {
		if (this.responseId == null) {
			return "no id";
		}
		return this.responseId.equals(this.requestId) ? "id of the request" : "id of request " + this.responseId;
	}

}
