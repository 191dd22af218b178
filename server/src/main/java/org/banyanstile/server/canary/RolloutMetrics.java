package org.banyanstile.server.canary;

import java.util.ArrayList;
import java.util.List;

import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.MultiGauge;
import io.micrometer.core.instrument.Tags;
import org.banyanstile.core.canary.FleetEvidence;
import org.banyanstile.core.canary.RolloutPhase;
import org.banyanstile.core.canary.RolloutStage;
import org.jspecify.annotations.Nullable;

/**
 * Gauges of rollouts.
 *
 * @author banyanstile contributors
 */
public final class RolloutMetrics {

	private final Rollouts rollouts;

	private final MultiGauge phases;

	private final MultiGauge shares;

	private final MultiGauge requests;

	private RolloutMetrics(Rollouts rollouts, MeterRegistry registry) {
		this.rollouts = rollouts;
		this.phases = MultiGauge.builder("banyanstile_rollout_phase").register(registry);
		this.shares = MultiGauge.builder("banyanstile_rollout_share").register(registry);
		this.requests = MultiGauge.builder("banyanstile_rollout_requests").register(registry);
	}

	/**
	 * Registers the gauges, which have no rows without a rollout.
	 * @param rollouts the rollouts of this VM
	 * @param registry the registry
	 * @return the gauges
	 */
	public static RolloutMetrics register(Rollouts rollouts, MeterRegistry registry) {
		return new RolloutMetrics(rollouts, registry);
	}

	/**
	 * Sets the gauges to the current state.
	 */
	public void update() {
		List<MultiGauge.Row<?>> phaseRows = new ArrayList<>();
		List<MultiGauge.Row<?>> shareRows = new ArrayList<>();
		List<MultiGauge.Row<?>> requestRows = new ArrayList<>();
		for (ServiceRollout rollout : this.rollouts.all()) {
			Tags tags = Tags.of("service", rollout.order().service(), "to", rollout.order().to());
			RolloutStage stage = rollout.stage();
			FleetEvidence evidence = rollout.ownEvidence();
			phaseRows.add(MultiGauge.Row.of(tags, number((stage != null) ? stage.phase() : null)));
			shareRows.add(MultiGauge.Row.of(tags, (stage != null) ? stage.share() : 0));
			requestRows.add(MultiGauge.Row.of(tags.and("version", "all"), evidence.requests()));
			requestRows.add(MultiGauge.Row.of(tags.and("version", "new"), evidence.sentNew()));
		}
		this.phases.register(phaseRows, true);
		this.shares.register(shareRows, true);
		this.requests.register(requestRows, true);
	}

	private static int number(@Nullable RolloutPhase phase) {
		if (phase == null) {
			return 0;
		}
		return switch (phase) {
			case SAMPLE -> 1;
			case LOAD -> 2;
			case FULL -> 3;
			case ROLLED_BACK -> 4;
			case COMPLETED -> 5;
		};
	}

}
