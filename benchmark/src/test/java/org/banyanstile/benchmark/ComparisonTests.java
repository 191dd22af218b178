package org.banyanstile.benchmark;

import java.util.List;
import java.util.stream.LongStream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

/**
 * Checks the results of the comparisons against the goals in section 8 of the design.
 *
 * @author banyanstile contributors
 */
class ComparisonTests {

	/**
	 * Guards against prefills that are wasted for lack of a decode slot, and against a
	 * broker that serves less than the naive choice.
	 */
	@ParameterizedTest
	@EnumSource(Scenario.class)
	void brokerWastesNoPrefillAndServesAtLeastTheNaiveGoodput(Scenario scenario) {
		for (Deployment deployment : Deployment.all()) {
			PoolResult naive = new PoolComparison(deployment, scenario, SlotPolicy.LAGGING_LOAD, ComparisonMain.SEED)
				.run();
			PoolResult design = new PoolComparison(deployment, scenario, SlotPolicy.BROKER, ComparisonMain.SEED).run();
			String where = deployment.name() + ", seed " + ComparisonMain.SEED;
			assertThat(where, design.wastedForLackOfSlot(), equalTo(0L));
			assertThat(where, design.wastedPrefill(), lessThan(0.01));
			double factor = (scenario == Scenario.PEAK) ? 1.3 : 1;
			assertThat(where, design.goodPerSecond(), greaterThanOrEqualTo(factor * naive.goodPerSecond()));
		}
	}

	/**
	 * Guards against one queue for all teams, where the team that sends most gets most.
	 */
	@Test
	void fairQueueProtectsTheWorstTeamBetterThanFifo() {
		for (Deployment deployment : Deployment.all()) {
			List<Double> shares = List.of(SlotPolicy.BROKER_FIFO, SlotPolicy.BROKER)
				.stream()
				.map((policy) -> new PoolComparison(deployment, Scenario.ONE_TEAM_FIVEFOLD, policy, ComparisonMain.SEED)
					.run()
					.worstTeamShare())
				.toList();
			assertThat(deployment.name(), shares.get(1), greaterThan(shares.get(0)));
		}
	}

	/**
	 * Guards against a team at five times its rate that slows the others. One seed alone
	 * can meet the goal by chance, so the mean of several must meet it too.
	 */
	@Test
	void worstTeamGetsItsFairShareBesideAFlood() {
		for (Deployment deployment : Deployment.all()) {
			assertThat(deployment.name(), worstTeamShare(deployment, ComparisonMain.SEED), greaterThanOrEqualTo(0.95));
			double mean = LongStream.rangeClosed(1, 10)
				.mapToDouble((seed) -> worstTeamShare(deployment, seed))
				.average()
				.orElseThrow();
			assertThat(deployment.name() + ", mean of seeds 1 to 10", mean, greaterThanOrEqualTo(0.95));
		}
	}

	private static double worstTeamShare(Deployment deployment, long seed) {
		return new PoolComparison(deployment, Scenario.ONE_TEAM_FIVEFOLD, SlotPolicy.BROKER, seed).run()
			.worstTeamShare();
	}

	/**
	 * Guards against refusals within rate and against over-grants.
	 */
	@Test
	void floorsAndGrantsRefuseNothingWithinRateAndOverGrantNothing() {
		LimitResult design = new LimitComparison(LimitPolicy.FLOORS_AND_GRANTS, 9, false, ComparisonMain.SEED).run();
		assertThat(design.oneVmRefused(), lessThan(0.001));
		assertThat(design.evenRefused(), lessThan(0.001));
		assertThat(design.overGrant(), lessThanOrEqualTo(0.0));
		LimitResult failing = new LimitComparison(LimitPolicy.FLOORS_AND_GRANTS, 9, true, ComparisonMain.SEED).run();
		assertThat(failing.overGrant(), lessThanOrEqualTo(0.0));
		LimitResult naive = new LimitComparison(LimitPolicy.RATE_PER_VM, 9, false, ComparisonMain.SEED).run();
		assertThat(naive.oneVmRefused(), greaterThan(0.5));
	}

}
