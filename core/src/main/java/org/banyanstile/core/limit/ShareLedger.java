package org.banyanstile.core.limit;

import java.util.Arrays;

/**
 * Counts the shares that an owner may manage: those with an unexpired promise of the slot
 * holder and those of unheld slots. Not safe for use by several threads.
 *
 * @author banyanstile contributors
 */
final class ShareLedger {

	private final long[] ownUntil;

	private int own;

	/**
	 * Lower bound of the end of all counted shares, so that a heartbeat costs no scan of
	 * all slots.
	 */
	private long earliestEnd = Long.MAX_VALUE;

	ShareLedger(int slots) {
		this.ownUntil = new long[slots];
		Arrays.fill(this.ownUntil, Long.MIN_VALUE);
	}

	int slots() {
		return this.ownUntil.length;
	}

	void extend(int slot, long until, long now) {
		own(now);
		if (until <= now || until <= this.ownUntil[slot]) {
			return;
		}
		if (this.ownUntil[slot] <= now) {
			this.own++;
			this.earliestEnd = Math.min(this.earliestEnd, until);
		}
		this.ownUntil[slot] = until;
	}

	int own(long now) {
		if (now >= this.earliestEnd) {
			recount(now);
		}
		return this.own;
	}

	private void recount(long now) {
		this.own = 0;
		this.earliestEnd = Long.MAX_VALUE;
		for (long until : this.ownUntil) {
			if (until > now) {
				this.own++;
				this.earliestEnd = Math.min(this.earliestEnd, until);
			}
		}
	}

}
