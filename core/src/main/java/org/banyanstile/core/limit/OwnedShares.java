package org.banyanstile.core.limit;

import java.util.Arrays;

/**
 * Counts the shares that an owner may grant from: those with an unexpired promise of the
 * slot holder and those of unheld slots. Not safe for use by several threads.
 *
 * @author banyanstile contributors
 */
final class OwnedShares {

	private final long[] ownedUntil;

	private int own;

	/**
	 * Lower bound of the expiry of all counted shares, so that a heartbeat requires no
	 * scan of all slots.
	 */
	private long earliestExpiry = Long.MAX_VALUE;

	OwnedShares(int slots) {
		this.ownedUntil = new long[slots];
		Arrays.fill(this.ownedUntil, Long.MIN_VALUE);
	}

	int slots() {
		return this.ownedUntil.length;
	}

	void extend(int slot, long until, long now) {
		own(now);
		if (until <= now || until <= this.ownedUntil[slot]) {
			return;
		}
		if (this.ownedUntil[slot] <= now) {
			this.own++;
			this.earliestExpiry = Math.min(this.earliestExpiry, until);
		}
		this.ownedUntil[slot] = until;
	}

	int own(long now) {
		if (now >= this.earliestExpiry) {
			recount(now);
		}
		return this.own;
	}

	private void recount(long now) {
		this.own = 0;
		this.earliestExpiry = Long.MAX_VALUE;
		for (long until : this.ownedUntil) {
			if (until > now) {
				this.own++;
				this.earliestExpiry = Math.min(this.earliestExpiry, until);
			}
		}
	}

}
