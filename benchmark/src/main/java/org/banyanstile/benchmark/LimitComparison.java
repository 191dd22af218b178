package org.banyanstile.benchmark;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

import org.banyanstile.core.common.TeamId;
import org.banyanstile.core.limit.GrantReply;
import org.banyanstile.core.limit.LimitTimes;
import org.banyanstile.core.limit.ReserveResult;
import org.banyanstile.core.limit.TeamBucketOwner;
import org.banyanstile.core.limit.TeamLimit;
import org.banyanstile.core.limit.TeamLimits;

/**
 * Runs the requests of five teams under one limit policy: team 0 uses one VM at 90% of
 * its rate, team 1 sends five times its rate, the others 90% over all VMs. The owner may
 * fail in the middle of the run and is then replaced after 16 s.
 *
 * @author banyanstile contributors
 */
final class LimitComparison {

	static final TeamLimit LIMIT = new TeamLimit(2000, 20_000);

	private static final int SLOTS = 16;

	private static final int RESERVED_TOKENS = 1370;

	private static final int USED_TOKENS = 1100;

	private static final long STEP = 10 * Deployment.MILLI;

	private static final long WARM_UP = 30_000 * Deployment.MILLI;

	private static final long DURATION = 300_000 * Deployment.MILLI;

	private static final long OWNER_FAILS_AT = 150_000 * Deployment.MILLI;

	private static final long OWNER_REPLACED_AT = OWNER_FAILS_AT + LimitTimes.TAKEOVER_NANOS;

	/**
	 * Size of a grant request and its reply: four bytes of length prefix each and the
	 * fields.
	 */
	private static final int GRANT_BYTES = 140;

	private final List<TeamLimits> vms = new ArrayList<>();

	private final Map<TeamId, SimpleBucket> buckets = new HashMap<>();

	private final double[] filled = new double[Deployment.TEAMS];

	private final long[] lastUse = new long[Deployment.TEAMS];

	private final long[][] requested = new long[Deployment.TEAMS][2];

	private final long[][] refused = new long[Deployment.TEAMS][2];

	private final LimitPolicy policy;

	private final int vmCount;

	private final boolean ownerFails;

	private final SplittableRandom random;

	private TeamBucketOwner owner;

	private double overGrant;

	private long messages;

	private long floodTokens;

	LimitComparison(LimitPolicy policy, int vmCount, boolean ownerFails, long seed) {
		this.ownerFails = ownerFails;
		this.policy = policy;
		this.vmCount = vmCount;
		this.random = new SplittableRandom(seed);
		this.owner = newOwner(1, 0);
		for (int vm = 0; vm < vmCount; vm++) {
			TeamLimits limits = TeamLimits.create(SLOTS, 1);
			limits.configure(limits());
			limits.slotAcquired(0);
			this.vms.add(limits);
		}
	}

	private static TeamId team(int index) {
		return TeamId.of("team-" + index);
	}

	private static Map<TeamId, TeamLimit> limits() {
		Map<TeamId, TeamLimit> limits = new HashMap<>();
		for (int team = 0; team < Deployment.TEAMS; team++) {
			limits.put(team(team), LIMIT);
		}
		return limits;
	}

	private static TeamBucketOwner newOwner(long token, long now) {
		TeamBucketOwner owner = TeamBucketOwner.takeOver(SLOTS, token, now);
		owner.configure(limits(), now);
		return owner;
	}

	LimitResult run() {
		long heartbeatAt = 0;
		boolean replaced = false;
		for (long now = 0; now < DURATION; now += STEP) {
			if (this.ownerFails && !replaced && now >= OWNER_REPLACED_AT) {
				replaced = true;
				this.owner = newOwner(2, now);
				this.buckets.clear();
			}
			if (now >= heartbeatAt) {
				heartbeatAt = now + 1000 * Deployment.MILLI;
				heartbeats(now);
			}
			for (int team = 0; team < Deployment.TEAMS; team++) {
				double load = (team == 1) ? 5 : 0.9;
				if (this.random.nextDouble() < load * LIMIT.tokensPerSecond() / USED_TOKENS * STEP * 1e-9) {
					request(team, (team == 0) ? 0 : this.random.nextInt(this.vmCount), now);
				}
			}
		}
		double seconds = (DURATION - WARM_UP) * 1e-9;
		return new LimitResult(ratio(0, 0), (ratio(2, 0) + ratio(3, 0) + ratio(4, 0)) / 3,
				(ratio(0, 1) + ratio(2, 1) + ratio(3, 1) + ratio(4, 1)) / 4, this.floodTokens / seconds, this.overGrant,
				this.messages / seconds, this.messages / seconds * GRANT_BYTES / 2);
	}

	private double ratio(int team, int period) {
		return (double) this.refused[team][period] / Math.max(1, this.requested[team][period]);
	}

	private boolean isOwnerDown(long now) {
		return this.ownerFails && now >= OWNER_FAILS_AT && now < OWNER_REPLACED_AT;
	}

	private void heartbeats(long now) {
		if (isOwnerDown(now)) {
			return;
		}
		for (TeamLimits limits : this.vms) {
			limits.promiseSent(0, now);
			for (ReserveResult.GrantNeeded returned : limits.returns(now)) {
				this.messages += 2;
				this.owner.grant(returned.request(), now);
			}
		}
		BitSet unheld = new BitSet();
		unheld.set(this.vmCount, SLOTS);
		this.owner.unheld(unheld, now, now);
		for (int vm = 0; vm < this.vmCount; vm++) {
			this.owner.promised(vm, now, now);
		}
	}

	private void request(int team, int vm, long now) {
		if (now < WARM_UP) {
			accept(team, vm, now);
			return;
		}
		boolean disturbed = this.ownerFails && now >= OWNER_FAILS_AT
				&& now < OWNER_REPLACED_AT + 10_000 * Deployment.MILLI;
		this.requested[team][disturbed ? 1 : 0]++;
		if (!accept(team, vm, now)) {
			this.refused[team][disturbed ? 1 : 0]++;
			return;
		}
		this.floodTokens += (team == 1) ? USED_TOKENS : 0;
		double refilled = (now - this.lastUse[team]) * 1e-9 * LIMIT.tokensPerSecond();
		this.filled[team] = Math.max(0, this.filled[team] - refilled) + USED_TOKENS;
		this.lastUse[team] = now;
		this.overGrant = Math.max(this.overGrant, this.filled[team] - LIMIT.burstTokens());
	}

	private boolean accept(int team, int vm, long now) {
		return switch (this.policy) {
			case RATE_PER_VM ->
				this.buckets
					.computeIfAbsent(TeamId.of("team-" + team + "-" + vm),
							(id) -> new SimpleBucket(LIMIT, this.vmCount, now))
					.take(USED_TOKENS, now);
			case CENTRAL_COUNTER -> {
				this.messages += 2;
				yield !isOwnerDown(now)
						&& this.buckets.computeIfAbsent(team(team), (id) -> new SimpleBucket(LIMIT, 1, now))
							.take(USED_TOKENS, now);
			}
			case FLOORS_AND_GRANTS -> acceptByGrant(team(team), this.vms.get(vm), now);
		};
	}

	private boolean acceptByGrant(TeamId team, TeamLimits limits, long now) {
		ReserveResult result = limits.reserve(team, RESERVED_TOKENS, now);
		if (result instanceof ReserveResult.GrantNeeded needed) {
			GrantReply reply = isOwnerDown(now) ? null : this.owner.grant(needed.request(), now);
			this.messages += 2;
			if (reply != null) {
				limits.grantReceived(team, reply, now, now);
			}
			result = limits.reserveAvailable(team, RESERVED_TOKENS, reply, now);
		}
		if (result instanceof ReserveResult.Reserved reserved) {
			limits.settle(reserved.reservation(), USED_TOKENS);
			return true;
		}
		return false;
	}

}
