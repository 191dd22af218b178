package org.banyanstile.core.limit;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import org.jspecify.annotations.Nullable;

/**
 * Bucket of one team at its owner. Invariant: level + outstanding grants + the burst of
 * the shares that are not the owner's is at most the burst. Not safe for use by several
 * threads.
 *
 * @author banyanstile contributors
 */
final class TeamBucket {

	/**
	 * Divisor of the remaining level that gives the tokens a VM may take in advance, so
	 * that one VM does not hold most of a team's tokens unused.
	 */
	private static final int ADVANCE_DIVISOR = 4;

	private final Map<Long, Long> grants = new LinkedHashMap<>();

	/**
	 * Headroom of the last 8 s, for tokens returned by short requests.
	 */
	private final HeadroomHistory recent;

	/**
	 * Headroom of the last 256 s, longer than the longest response takes.
	 */
	private final HeadroomHistory old;

	private TeamLimit limit;

	private double level;

	private long outstanding;

	private long refilledAt;

	TeamBucket(TeamLimit limit, long start) {
		this.limit = limit;
		this.refilledAt = start;
		this.recent = new HeadroomHistory(TimeUnit.MILLISECONDS.toNanos(125), start);
		this.old = new HeadroomHistory(TimeUnit.SECONDS.toNanos(4), start);
	}

	TeamLimit limit() {
		return this.limit;
	}

	void limit(TeamLimit changed) {
		this.limit = changed;
	}

	double level() {
		return this.level;
	}

	void refill(long now, double ownFraction) {
		// Grants expire in order of time, with a refill before each: a single refill
		// after all of them would credit time during which the bucket was full.
		Iterator<Map.Entry<Long, Long>> oldest = this.grants.entrySet().iterator();
		while (oldest.hasNext()) {
			Map.Entry<Long, Long> grant = oldest.next();
			long expiresAt = grant.getKey() + LimitTimes.GRANT_NANOS;
			if (expiresAt > now) {
				break;
			}
			step(expiresAt, ownFraction);
			this.outstanding -= grant.getValue();
			oldest.remove();
		}
		step(now, ownFraction);
	}

	private void step(long now, double ownFraction) {
		if (now > this.refilledAt) {
			this.level += (now - this.refilledAt) * 1e-9 * this.limit.tokensPerSecond() * ownFraction;
			this.refilledAt = now;
		}
		double room = this.limit.burstTokens() * ownFraction - this.outstanding;
		this.level = Math.max(0, Math.min(this.level, room));
		this.recent.record(room - this.level, now);
		this.old.record(room - this.level, now);
	}

	/**
	 * Grants tokens.
	 * @param needed the tokens needed
	 * @param wanted the tokens wanted
	 * @param issued the time of issue, different for each grant
	 * @return the granted tokens, 0 if the needed ones are not available
	 */
	long grant(long needed, long wanted, long issued) {
		long available = (long) Math.floor(this.level);
		if (available < needed) {
			return 0;
		}
		long tokens = Math.min(Math.max(needed, wanted), needed + (available - needed) / ADVANCE_DIVISOR);
		if (tokens <= 0) {
			return 0;
		}
		this.level -= tokens;
		this.outstanding += tokens;
		this.grants.put(issued, tokens);
		return tokens;
	}

	void spent(List<Long> issued) {
		for (Long stamp : issued) {
			Long tokens = this.grants.remove(stamp);
			this.outstanding -= (tokens != null) ? tokens : 0;
		}
	}

	void giveBack(long tokens, long since) {
		HeadroomHistory history = this.recent.covers(since) ? this.recent : this.old;
		if (tokens <= 0 || !history.covers(since)) {
			return;
		}
		double credit = Math.min(tokens, history.room(since));
		this.level += credit;
		this.recent.use(credit, since);
		this.old.use(credit, since);
	}

	@Nullable
	Long shortNanos(long needed, double ownFraction) {
		if (this.limit.burstTokens() * ownFraction < needed) {
			return null;
		}
		return this.limit.refillNanos((needed - this.level) / ownFraction);
	}

}
