package org.banyanstile.core.claim;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.jspecify.annotations.Nullable;

/**
 * Claims that this VM is making, runs, or whose outcome it could not yet store. Safe for
 * use by several threads.
 *
 * @author banyanstile contributors
 */
final class LocalClaims {

	/**
	 * Largest number of claims. It also bounds the outcomes that accumulate in a long
	 * store outage, since no claim is made without the store.
	 */
	private static final int MAX_CLAIMS = 10_000;

	private final Map<ClaimIdentity, Entry> entries = new LinkedHashMap<>();

	/**
	 * Adds a claim that is being made.
	 * @param identity identity of the call
	 * @param bodyHash hash of the call
	 * @return the claim that exists already, or {@code null} if the new one was added
	 * @throws TooManyClaimsException if there are too many claims
	 */
	synchronized @Nullable Entry begin(ClaimIdentity identity, String bodyHash) throws TooManyClaimsException {
		Entry entry = this.entries.get(identity);
		if (entry == null && this.entries.size() >= MAX_CLAIMS) {
			throw new TooManyClaimsException();
		}
		if (entry == null) {
			this.entries.put(identity, new Entry(bodyHash, null, null));
		}
		return entry;
	}

	synchronized void retain(HeldClaim claim, ClaimOutcome outcome) {
		this.entries.put(claim.identity(), new Entry(claim.record().bodyHash(), claim, outcome));
	}

	synchronized void remove(ClaimIdentity identity) {
		this.entries.remove(identity);
	}

	synchronized @Nullable Entry get(ClaimIdentity identity) {
		return this.entries.get(identity);
	}

	synchronized List<Entry> retained() {
		return this.entries.values().stream().filter((entry) -> entry.outcome() != null).toList();
	}

	/**
	 * A claim of this VM.
	 *
	 * @param bodyHash hash of the call
	 * @param claim the claim, or {@code null} before its outcome is known
	 * @param outcome outcome that is not yet stored, or {@code null} before it is known
	 * @author banyanstile contributors
	 */
	record Entry(String bodyHash, @Nullable HeldClaim claim, @Nullable ClaimOutcome outcome) {

	}

	/**
	 * There are too many claims.
	 *
	 * @author banyanstile contributors
	 */
	static final class TooManyClaimsException extends Exception {

		private static final long serialVersionUID = 1L;

	}

}
