package org.banyanstile.server;

import java.util.HashMap;
import java.util.Map;

import org.banyanstile.config.Team;
import org.banyanstile.core.common.TeamId;
import org.banyanstile.core.common.Ticker;
import org.banyanstile.server.caller.LimitDecision;
import org.banyanstile.server.caller.TeamLimiter;

/**
 * Token buckets with the full rate and burst of each team. Correct only in a fleet of one
 * VM.
 *
 * @author banyanstile contributors
 */
public final class LocalTeamLimiter implements TeamLimiter {

	private static final double NANOS = 1e9;

	private final AppliedConfiguration configuration;

	private final Ticker ticker;

	private final Map<TeamId, Bucket> buckets = new HashMap<>();

	private LocalTeamLimiter(AppliedConfiguration configuration, Ticker ticker) {
		this.configuration = configuration;
		this.ticker = ticker;
	}

	/**
	 * Creates a limiter.
	 * @param configuration the configuration
	 * @param ticker time source
	 * @return the limiter
	 */
	public static LocalTeamLimiter create(AppliedConfiguration configuration, Ticker ticker) {
		return new LocalTeamLimiter(configuration, ticker);
	}

	@Override
	public LimitDecision reserve(TeamId team, long tokens) {
		Team limits = this.configuration.current().configuration().team(team.name()).orElse(null);
		if (limits == null || tokens > limits.burstTokens()) {
			return new LimitDecision.TooLarge((limits != null) ? limits.burstTokens() : 0);
		}
		return reserve(team, limits, tokens);
	}

	private synchronized LimitDecision reserve(TeamId team, Team limits, long tokens) {
		long now = this.ticker.nanos();
		Bucket bucket = this.buckets.computeIfAbsent(team, (id) -> new Bucket(limits.burstTokens(), now));
		bucket.level = Math.min(limits.burstTokens(),
				bucket.level + (now - bucket.updatedAt) / NANOS * limits.tokensPerSecond());
		bucket.updatedAt = now;
		if (bucket.level < tokens) {
			double seconds = (tokens - bucket.level) / Math.max(1, limits.tokensPerSecond());
			return new LimitDecision.Limited((long) Math.ceil(seconds * 1000));
		}
		bucket.level -= tokens;
		return new LimitDecision.Reserved(team, tokens, bucket);
	}

	@Override
	public synchronized void settle(LimitDecision.Reserved reservation, long usedTokens) {
		((Bucket) reservation.handle()).level += Math.max(0, reservation.tokens() - usedTokens);
	}

	/**
	 * Level of a bucket.
	 *
	 * @author banyanstile contributors
	 */
	private static final class Bucket {

		private double level;

		private long updatedAt;

		private Bucket(double level, long updatedAt) {
			this.level = level;
			this.updatedAt = updatedAt;
		}

	}

}
