package org.banyanstile.benchmark;

import java.util.BitSet;
import java.util.HashMap;
import java.util.Map;

import org.banyanstile.core.common.TeamId;
import org.banyanstile.core.limit.GrantReply;
import org.banyanstile.core.limit.GrantRequest;
import org.banyanstile.core.limit.ReserveResult;
import org.banyanstile.core.limit.TeamBucketOwner;
import org.banyanstile.core.limit.TeamLimit;
import org.banyanstile.core.limit.TeamLimits;

/**
 * Costs of team limits against numbers of teams and VM slots.
 *
 * @author banyanstile contributors
 */
final class LimitSlopes {

	private static final long START = 60_000 * Deployment.MILLI;

	private LimitSlopes() {
	}

	static void run(SlopeTable table) {
		for (int teams : new int[] { 1000, 4000, 13_000 }) {
			owner(table, teams);
			vm(table, teams);
		}
		for (int slots : new int[] { 16, 275, 1100 }) {
			promises(table, slots);
		}
	}

	private static Map<TeamId, TeamLimit> limits(int teams) {
		Map<TeamId, TeamLimit> limits = new HashMap<>();
		for (int i = 0; i < teams; i++) {
			limits.put(TeamId.of("team-" + i), new TeamLimit(450, 100_000));
		}
		return limits;
	}

	private static TeamBucketOwner owner(int slots, Map<TeamId, TeamLimit> limits) {
		TeamBucketOwner owner = TeamBucketOwner.takeOver(slots, 1, 0);
		owner.configure(limits, 0);
		for (long now = 0; now <= START; now += 4000 * Deployment.MILLI) {
			unheld(owner, slots, now);
		}
		return owner;
	}

	private static void unheld(TeamBucketOwner owner, int slots, long now) {
		BitSet all = new BitSet();
		all.set(0, slots);
		owner.unheld(all, now, now);
	}

	private static void owner(SlopeTable table, int teams) {
		Map<TeamId, TeamLimit> limits = limits(teams);
		TeamId[] ids = limits.keySet().toArray(new TeamId[0]);
		TeamBucketOwner owner = owner(16, limits);
		table.cpu("bucket owner, grant", "teams", teams, Meter.nanosPerOperation(100_000, (i) -> {
			long now = START + i * 100_000L;
			if (i % 10_000 == 0) {
				unheld(owner, 16, now);
			}
			owner.grant(GrantRequest.of(ids[i % ids.length], 370, 370), now);
		}));
		table.memory("bucket owner", "teams", teams, Meter.retainedBytes(() -> owner(16, limits)));
	}

	private static void vm(SlopeTable table, int teams) {
		Map<TeamId, TeamLimit> limits = limits(teams);
		TeamId[] ids = limits.keySet().toArray(new TeamId[0]);
		TeamLimits vm = TeamLimits.create(16, 16);
		vm.configure(limits);
		table.cpu("VM, reserve with grant and settle", "teams", teams, Meter.nanosPerOperation(100_000, (i) -> {
			TeamId team = ids[i % ids.length];
			long now = START + i * 100_000L;
			vm.reserve(team, 370, now);
			vm.grantReceived(team, new GrantReply(370, 2000 * Deployment.MILLI, 0, now, 1), now, now);
			if (vm.reserve(team, 370, now) instanceof ReserveResult.Reserved reserved) {
				vm.settle(reserved.reservation(), 300);
			}
		}));
		table.cpu("VM, collect returns (each second)", "teams", teams,
				Meter.nanosPerOperation(50, (i) -> vm.returns(2 * START)));
		table.memory("VM limits", "teams", teams, Meter.retainedBytes(() -> {
			TeamLimits kept = TeamLimits.create(16, 16);
			kept.configure(limits);
			return kept;
		}));
	}

	private static void promises(SlopeTable table, int slots) {
		TeamBucketOwner owner = owner(slots, limits(812));
		long period = 1_000_000_000L / slots;
		table.cpu("bucket owner, promise (812 teams)", "slots", slots, Meter.nanosPerOperation(50_000, (i) -> {
			long now = START + i * period;
			owner.promised(i % slots, now, now);
		}));
	}

}
