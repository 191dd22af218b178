package org.banyanstile.server.gossip;

import java.util.List;

import org.banyanstile.core.canary.FleetEvidence;
import org.banyanstile.core.canary.RolloutStage;
import org.banyanstile.core.canary.RouteEvidence;
import org.banyanstile.core.canary.TimeCounts;
import org.banyanstile.server.canary.Rollouts;
import org.banyanstile.server.canary.VmEvidence;
import org.jspecify.annotations.Nullable;

/**
 * Translates reports on rollouts into messages and back.
 *
 * @author banyanstile contributors
 */
final class RolloutExchange {

	private RolloutExchange() {
	}

	static @Nullable GossipRollouts message(GossipMember self, @Nullable Rollouts rollouts) {
		List<VmEvidence> reports = (rollouts != null) ? rollouts.reports() : List.of();
		if (reports.isEmpty()) {
			return null;
		}
		return new GossipRollouts(self.vm(), self.incarnation(),
				reports.stream().map(RolloutExchange::encode).toList());
	}

	private static GossipRollout encode(VmEvidence report) {
		RolloutStage stage = report.stage();
		return new GossipRollout(report.service(), report.order(), report.oldRunning(),
				(stage != null) ? stage.toText() : "", report.evidence().requests(), report.evidence().sentNew(),
				report.evidence()
					.routes()
					.stream()
					.map((route) -> new GossipRouteOutcomes(route.route(), route.isNew(), route.answers(),
							route.failures(), route.broken(), route.firsts().counts(), route.totals().counts()))
					.toList());
	}

	static void receive(GossipRollouts message, @Nullable Rollouts rollouts) {
		if (rollouts == null) {
			return;
		}
		for (GossipRollout report : message.rollouts()) {
			List<RouteEvidence> routes = report.routes()
				.stream()
				.map((route) -> new RouteEvidence(route.route(), route.newVersion(), route.answers(), route.failures(),
						route.broken(), new TimeCounts(route.firsts()), new TimeCounts(route.totals())))
				.toList();
			RolloutStage stage = report.stage().isEmpty() ? null : RolloutStage.parse(report.stage());
			rollouts.received(message.vm(), message.incarnation(), new VmEvidence(report.service(), report.order(),
					report.oldRunning(), stage, new FleetEvidence(report.requests(), report.sentNew(), routes)));
		}
	}

}
