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
 * Token limits of all teams. Safe for use by several threads.
 *
 * @author banyanstile contributors
 */
final class TeamQuotas {

	/**
	 * Part of the tolerated excess that is added to each bucket, so that a team within
	 * its limit is not refused because the VMs' reports lag. The rest covers what VMs
	 * admit between two reports.
	 */
	private static final double USED_TOLERANCE = 0.5;

	private final Map<String, SharedQuota> quotas = new HashMap<>();

	private final Map<String, Map<String, Heard>> heard = new HashMap<>();

	private final Ticker ticker;

	private final Supplier<Set<String>> others;

	private double extraTokens;

	TeamQuotas(Ticker ticker, double tolerance, Supplier<Set<String>> others) {
		this.ticker = ticker;
		this.others = others;
		this.extraTokens = USED_TOLERANCE * tolerance;
	}

	/**
	 * Changes the tolerated excess.
	 * @param tolerance tokens by which a team may exceed its limit for a moment
	 */
	synchronized void setTolerance(double tolerance) {
		this.extraTokens = USED_TOLERANCE * tolerance;
	}

	/**
	 * Takes tokens of a team.
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
	 * Gives back tokens of a request that did not run.
	 * @param team the team
	 * @param tokens the tokens
	 */
	synchronized void giveBack(TeamPolicy team, long tokens) {
		if (team.isLimited()) {
			quota(team).giveBack(tokens);
		}
	}

	private SharedQuota quota(TeamPolicy team) {
		long now = this.ticker.nanos();
		SharedQuota quota = this.quotas.computeIfAbsent(team.name(), (name) -> {
			SharedQuota fresh = SharedQuota.empty(team.tokensPerSecond(), team.burstTokens() + this.extraTokens, now);
			this.heard.getOrDefault(name, Map.of())
				.forEach((vm, use) -> fresh.report(vm, use.incarnation(), use.tokens(), now));
			return fresh;
		});
		quota.setLimit(team.tokensPerSecond(), team.burstTokens() + this.extraTokens, now);
		return quota;
	}

	/**
	 * Prepares the buckets of teams, so that they fill before the first requests, and
	 * tells them the VMs of the fleet.
	 * @param teams the teams
	 */
	void prepare(Collection<TeamPolicy> teams) {
		Set<String> vms = this.others.get();
		long now = this.ticker.nanos();
		synchronized (this) {
			this.heard.values().forEach((uses) -> uses.keySet().retainAll(vms));
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
			this.heard.computeIfAbsent(use.team(), (team) -> new HashMap<>())
				.put(vm.vm(), new Heard(vm.incarnation(), use.tokens()));
			SharedQuota quota = this.quotas.get(use.team());
			if (quota != null) {
				quota.report(vm.vm(), vm.incarnation(), use.tokens(), now);
			}
		}
	}

	/**
	 * Use that another VM reported last, kept for teams that this VM has not served yet.
	 *
	 * @param incarnation incarnation of the VM
	 * @param tokens tokens since its start
	 * @author banyanstile contributors
	 */
	private record Heard(long incarnation, long tokens) {

	}

}
