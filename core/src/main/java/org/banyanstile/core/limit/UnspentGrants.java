package org.banyanstile.core.limit;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

import org.banyanstile.core.common.TeamId;

/**
 * Unspent grants of one team at one VM, and the tokens to return to the owner. Not safe
 * for use by several threads.
 *
 * @author banyanstile contributors
 */
final class UnspentGrants {

	private final Deque<Grant> grants = new ArrayDeque<>();

	private final Deque<Long> spent = new ArrayDeque<>();

	private long available;

	private long returned;

	private long returnedSince;

	private long owner;

	void add(GrantReply reply, long sentAt, long now) {
		long expiresAt = sentAt + reply.validNanos();
		if (expiresAt <= now) {
			giveBack(reply.tokens(), reply.issuedNanos(), reply.ownerToken());
			return;
		}
		this.grants.add(new Grant(reply.tokens(), expiresAt, reply.issuedNanos(), reply.ownerToken()));
		this.available += reply.tokens();
	}

	long available(long now) {
		this.grants.removeIf((grant) -> {
			if (grant.expiresAt > now) {
				return false;
			}
			this.available -= grant.tokens;
			giveBack(grant.tokens, grant.issuedNanos, grant.ownerToken);
			return true;
		});
		return this.available;
	}

	Taken take(long tokens) {
		// Takes tokens from the oldest grants, which must cover them.
		long remaining = tokens;
		long since = Long.MAX_VALUE;
		long owner = 0;
		long returnable = 0;
		while (remaining > 0) {
			Grant grant = this.grants.element();
			long taken = Math.min(remaining, grant.tokens);
			grant.tokens -= taken;
			remaining -= taken;
			boolean sameOwner = owner == grant.ownerToken;
			since = sameOwner ? Math.min(since, grant.issuedNanos) : grant.issuedNanos;
			returnable = sameOwner ? returnable + taken : taken;
			owner = grant.ownerToken;
			if (grant.tokens == 0) {
				this.grants.remove();
				addSpent(grant);
			}
		}
		this.available -= tokens;
		return new Taken(returnable, since, owner);
	}

	private void addSpent(Grant grant) {
		if (grant.ownerToken < this.owner) {
			return;
		}
		useOwner(grant.ownerToken);
		this.spent.add(grant.issuedNanos);
		if (this.spent.size() > GrantRequest.MAX_SPENT) {
			this.spent.remove();
		}
	}

	private void useOwner(long newest) {
		if (newest != this.owner) {
			this.owner = newest;
			this.returned = 0;
			this.spent.clear();
		}
	}

	void giveBack(long tokens, long since, long issuer) {
		// Collects tokens to return. Tokens of a previous owner are dropped, since the
		// new owner cannot tell whether its bucket had room for them.
		if (tokens <= 0 || issuer < this.owner) {
			return;
		}
		useOwner(issuer);
		this.returnedSince = (this.returned > 0) ? Math.min(this.returnedSince, since) : since;
		this.returned += tokens;
	}

	long returned() {
		return this.returned;
	}

	GrantRequest request(TeamId team, long needed, long wanted) {
		GrantRequest request = new GrantRequest(team, needed, wanted, this.returned, this.returnedSince, this.owner,
				List.copyOf(this.spent));
		this.returned = 0;
		this.spent.clear();
		return request;
	}

	/**
	 * Origin of tokens that were taken.
	 *
	 * @param returnable the tokens that the newest owner issued
	 * @param since the earliest time of issue
	 * @param owner the fencing token of that owner
	 */
	record Taken(long returnable, long since, long owner) {
	}

	private static final class Grant {

		private long tokens;

		private final long expiresAt;

		private final long issuedNanos;

		private final long ownerToken;

		private Grant(long tokens, long expiresAt, long issuedNanos, long ownerToken) {
			this.tokens = tokens;
			this.expiresAt = expiresAt;
			this.issuedNanos = issuedNanos;
			this.ownerToken = ownerToken;
		}

	}

}
