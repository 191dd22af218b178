package org.banyanstile.server.router;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;

import org.banyanstile.core.catalog.TeamPolicy;
import org.banyanstile.core.common.Ticker;
import org.banyanstile.core.limit.SharedQuota;
import org.banyanstile.server.gossip.GossipMember;
import org.banyanstile.server.gossip.GossipUse;

/**
 * Token quotas of all teams. Safe for use by several threads.
 *
 * @author banyanstile contributors
 */
final class TeamQuotas {

	/**
	 * Fraction of the tolerated excess that is added to each bucket, so that a team
	 * within its limit is not rejected because reports of other VMs are delayed. The rest
	 * covers what the VMs admit between two reports.
	 */
	private static final double BUCKET_TOLERANCE_RATIO = 0.5;

	private final Map<String, SharedQuota> quotas = new HashMap<>();

	private final Map<String, Map<String, ReportedUse>> reportedUses = new HashMap<>();

	private final Ticker ticker;

	private final Supplier<Set<String>> otherVms;

	private double extraTokens;

	TeamQuotas(Ticker ticker, double tolerance, Supplier<Set<String>> otherVms) {
		this.ticker = ticker;
		this.otherVms = otherVms;
		this.extraTokens = BUCKET_TOLERANCE_RATIO * tolerance;
	}

	/**
	 * Sets the tolerated excess.
	 * @param tolerance tokens by which a team may temporarily exceed its limit
	 */
	synchronized void setTolerance(double tolerance) {
		this.extraTokens = BUCKET_TOLERANCE_RATIO * tolerance;
	}

	/**
	 * Takes tokens from the quota of a team.
	 * @param team the team
	 * @param tokens the tokens
	 * @return 0 if they were taken, else the time in nanoseconds until there may be
	 * enough
	 */
	synchronized long take(TeamPolicy team, long tokens) {
		if (!team.isLimited()) {
			return 0;
		}
		return quota(team).take(tokens, this.ticker.nanos());
	}

	/**
	 * Returns how long a request would have to wait for tokens, without taking them.
	 * @param team the team
	 * @param tokens the tokens
	 * @return 0 if there are enough, else the time in nanoseconds until there may be
	 */
	synchronized long waitNanos(TeamPolicy team, long tokens) {
		return team.isLimited() ? quota(team).waitNanos(tokens, this.ticker.nanos()) : 0;
	}

	/**
	 * Refunds the tokens of a request that did not run.
	 * @param team the team
	 * @param tokens the tokens
	 */
	synchronized void refund(TeamPolicy team, long tokens) {
		if (team.isLimited()) {
			quota(team).giveBack(tokens);
		}
	}

	private SharedQuota quota(TeamPolicy team) {
		long now = this.ticker.nanos();
		SharedQuota quota = this.quotas.computeIfAbsent(team.name(), (name) -> {
			SharedQuota created = SharedQuota.empty(team.tokensPerSecond(), team.burstTokens() + this.extraTokens, now);
			this.reportedUses.getOrDefault(name, Map.of())
				.forEach((vm, use) -> created.report(vm, use.incarnation(), use.tokens(), now));
			return created;
		});
		quota.setLimit(team.tokensPerSecond(), team.burstTokens() + this.extraTokens, now);
		return quota;
	}

	/**
	 * Creates the buckets of teams, so that they fill before the first requests, and sets
	 * the other VMs of the fleet in them.
	 * @param teams the teams
	 */
	void prepare(Collection<TeamPolicy> teams) {
		Set<String> vms = this.otherVms.get();
		long now = this.ticker.nanos();
		synchronized (this) {
			this.reportedUses.values().forEach((uses) -> uses.keySet().retainAll(vms));
			for (TeamPolicy team : teams) {
				if (team.isLimited()) {
					quota(team).setPeers(vms, now);
				}
			}
		}
	}

	synchronized List<GossipUse> uses() {
		List<GossipUse> uses = new ArrayList<>();
		this.quotas.forEach((team, quota) -> uses.add(new GossipUse(team, quota.used())));
		return uses;
	}

	synchronized void report(GossipMember vm, List<GossipUse> uses) {
		long now = this.ticker.nanos();
		for (GossipUse use : uses) {
			this.reportedUses.computeIfAbsent(use.team(), (team) -> new HashMap<>())
				.put(vm.vm(), new ReportedUse(vm.incarnation(), use.tokens()));
			SharedQuota quota = this.quotas.get(use.team());
			if (quota != null) {
				quota.report(vm.vm(), vm.incarnation(), use.tokens(), now);
			}
		}
	}

	/**
	 * Last token use that another VM reported for a team, kept until this VM serves the
	 * team.
	 *
	 * @param incarnation incarnation of the VM
	 * @param tokens tokens that the VM has used since its start
	 * @author banyanstile contributors
	 */
	private record ReportedUse(long incarnation, long tokens) {

	}

}
