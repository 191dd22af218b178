package org.banyanstile.core.limit;

import java.util.BitSet;
import java.util.HashMap;
import java.util.Map;

import org.banyanstile.core.common.TeamId;

/**
 * Buckets of the teams of one partition at its owner. The caller must hold the partition
 * at the time that it passes to {@link #grant}. Safe for use by several threads.
 *
 * @author banyanstile contributors
 */
public final class TeamBucketOwner {

	private final Object lock = new Object();

	private final Map<TeamId, TeamBucket> buckets = new HashMap<>();

	private final OwnedShares shares;

	private final long ownerToken;

	private final long startsAt;

	private int own;

	private long lastIssued = Long.MIN_VALUE;

	private TeamBucketOwner(int slots, long ownerToken, long startsAt) {
		this.shares = new OwnedShares(slots);
		this.ownerToken = ownerToken;
		this.startsAt = startsAt;
	}

	/**
	 * Creates the buckets of a partition when it is taken over. All levels are 0 until
	 * the last possible grant of the previous owner has expired.
	 * @param slots the number of VM slots
	 * @param ownerToken the fencing token of the partition
	 * @param now the current time in nanoseconds
	 * @return the buckets
	 */
	public static TeamBucketOwner takeOver(int slots, long ownerToken, long now) {
		return new TeamBucketOwner(slots, ownerToken, now + LimitTimes.GRANT_NANOS + LimitTimes.MARGIN_NANOS);
	}

	/**
	 * Sets the limits that are in force. Teams that are absent are removed.
	 * @param limits the limits of the teams of this partition
	 * @param now the current time in nanoseconds
	 */
	public void configure(Map<TeamId, TeamLimit> limits, long now) {
		synchronized (this.lock) {
			advance(now);
			this.buckets.keySet().retainAll(limits.keySet());
			limits.forEach((team, limit) -> {
				TeamBucket bucket = this.buckets.get(team);
				if (bucket == null) {
					this.buckets.put(team, new TeamBucket(limit, Math.max(now, this.startsAt)));
				}
				else if (!bucket.limit().equals(limit)) {
					bucket.refill(now, ownFraction());
					bucket.limit(limit);
					bucket.refill(now, ownFraction());
				}
			});
		}
	}

	/**
	 * Records the promise of a slot holder not to use its floors of this partition.
	 * @param slot the slot of the sender
	 * @param sentNotBefore a time on this VM's clock that is not after the promise was
	 * sent, for example the time stamp of this VM that the heartbeat echoes; the time of
	 * receipt is not safe, since a paused owner reads old heartbeats late
	 * @param now the current time in nanoseconds
	 */
	public void promised(int slot, long sentNotBefore, long now) {
		synchronized (this.lock) {
			advance(now);
			this.shares.extend(slot, sentNotBefore + LimitTimes.PROMISE_NANOS, now);
			advance(now);
		}
	}

	/**
	 * Records which slots nobody holds.
	 * @param slots the unheld slots
	 * @param scanStartedAt a time before the scan of the slot rows was sent
	 * @param now the current time in nanoseconds
	 */
	public void unheld(BitSet slots, long scanStartedAt, long now) {
		synchronized (this.lock) {
			advance(now);
			slots.stream()
				.filter((slot) -> slot < this.shares.slots())
				.forEach((slot) -> this.shares.extend(slot, scanStartedAt + LimitTimes.SCAN_NANOS, now));
			advance(now);
		}
	}

	/**
	 * Responds to a grant request.
	 * @param request the request
	 * @param now the current time in nanoseconds
	 * @return the reply; an unknown team gets no tokens
	 */
	public GrantReply grant(GrantRequest request, long now) {
		synchronized (this.lock) {
			advance(now);
			if (now < this.startsAt) {
				return refusal(this.startsAt - now, now);
			}
			TeamBucket bucket = this.buckets.get(request.team());
			if (bucket == null) {
				return refusal(LimitTimes.SHORT_RETRY_NANOS, now);
			}
			bucket.refill(now, ownFraction());
			if (request.returnedTo() == this.ownerToken) {
				bucket.spent(request.spent());
				bucket.giveBack(request.returned(), request.returnedSince());
			}
			long issued = Math.max(now, this.lastIssued + 1);
			long tokens = bucket.grant(request.needed(), request.wanted(), issued);
			if (tokens > 0 || request.needed() <= 0) {
				this.lastIssued = issued;
				return new GrantReply(tokens, LimitTimes.GRANT_NANOS, 0, issued, this.ownerToken);
			}
			Long shortNanos = bucket.shortNanos(request.needed(), ownFraction());
			return refusal((shortNanos != null) ? shortNanos : LimitTimes.SHORT_RETRY_NANOS, now);
		}
	}

	/**
	 * Returns the number of shares that the owner manages.
	 * @param now the current time in nanoseconds
	 * @return the number of shares
	 */
	public int ownShares(long now) {
		synchronized (this.lock) {
			advance(now);
			return this.own;
		}
	}

	private GrantReply refusal(long retryAfterNanos, long now) {
		return new GrantReply(0, LimitTimes.GRANT_NANOS, Math.max(1, retryAfterNanos), now, this.ownerToken);
	}

	private double ownFraction() {
		return (double) this.own / this.shares.slots();
	}

	private void advance(long now) {
		// Refills all buckets when the number of shares changes, with the lower of both
		// numbers for the time since the last refill: a bucket that is refilled later
		// would credit time in which the floor of a share was in use.
		int current = this.shares.own(now);
		if (current == this.own) {
			return;
		}
		int before = this.own;
		this.own = Math.min(before, current);
		double lower = ownFraction();
		for (TeamBucket bucket : this.buckets.values()) {
			bucket.refill(now, lower);
		}
		this.own = current;
	}

}
