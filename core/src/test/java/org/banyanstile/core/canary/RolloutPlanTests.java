package org.banyanstile.core.canary;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.both;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.nullValue;

/**
 * Plays rollouts against {@link RolloutPlan}: each request fails or is slow as its
 * version does, and its outcome is known to the plan half a second after its end.
 *
 * @author banyanstile contributors
 */
class RolloutPlanTests {

	private static final ExposureBounds BOUNDS = new ExposureBounds(0.1, 50, 5000);

	private static final RolloutOrder ORDER = new RolloutOrder("llm", "v2", 12_000, 7);

	@Test
	void goodVersionIsCompletedBeforeItsDeadline() {
		for (int seed = 0; seed < 200; seed++) {
			Played played = play(seed, 50, 2500, (point, route, millis, share) -> Outcome.of(false, 1));
			assertThat(played.phase(), is(RolloutPhase.COMPLETED));
			assertThat(played.endMillis(), both(greaterThan(9000L)).and(lessThan(12_000L)));
		}
	}

	@Test
	void versionWithFailuresGetsNoMoreThanTheBound() {
		assertIsRolledBack(200, (point, route, millis, share) -> Outcome.of(point < 0.3, 1));
	}

	@Test
	void versionThatFailsOnOneRouteGetsNoMoreThanTheBound() {
		assertIsRolledBack(200, (point, route, millis, share) -> Outcome.of(route == 0 && point < 0.7, 1));
	}

	@Test
	void versionWithSlowResponsesGetsNoMoreThanTheBound() {
		assertIsRolledBack(200, (point, route, millis, share) -> Outcome.of(false, (point < 0.5) ? 4 : 1));
	}

	@Test
	void versionThatFailsUnderLoadGetsNoMoreThanTheBound() {
		assertIsRolledBack(200, (point, route, millis, share) -> Outcome.of(share > 0.12 && point < 0.5, 1));
	}

	@Test
	void versionThatTurnsBadLaterGetsNoMoreThanTheBound() {
		assertIsRolledBack(200, (point, route, millis, share) -> Outcome.of(millis > 4000 && point < 0.5, 1));
	}

	private static void assertIsRolledBack(int seeds, Version version) {
		for (int seed = 0; seed < seeds; seed++) {
			Played played = play(seed, 50, 2500, version);
			assertThat("seed " + seed, played.phase(), is(RolloutPhase.ROLLED_BACK));
			assertThat("seed " + seed, (double) played.sentNew(), lessThanOrEqualTo(BOUNDS.allowed(50 * 12)));
		}
	}

	@Test
	void thinEvidenceAtTheDeadlineRollsBack() {
		Played played = play(1, 0.5, 2500, (point, route, millis, share) -> Outcome.of(false, 1));
		assertThat(played.phase(), is(RolloutPhase.ROLLED_BACK));
	}

	@Test
	void disruptionOfBothVersionsIsNoFault() {
		RouteEvidence old = new RouteEvidence("r", false, 100, 30, 10, TimeCounts.NONE, TimeCounts.NONE);
		RouteEvidence next = new RouteEvidence("r", true, 20, 6, 2, TimeCounts.NONE, TimeCounts.NONE);
		assertThat(VersionJudgement.fault(new FleetEvidence(120, 20, List.of(old, next))), nullValue());
	}

	@Test
	void versionWithoutEnginesOfBothRolesIsNotGivenAllTraffic() {
		RolloutStage stage = new RolloutStage(7, 1, RolloutPhase.SAMPLE, 0.1, 0, 20_000, Set.of("v1"));
		RouteEvidence next = new RouteEvidence("r", true, 30, 0, 0, TimeCounts.NONE, TimeCounts.NONE);
		FleetEvidence evidence = new FleetEvidence(400, 30, List.of(next));
		RolloutPlan.Facts facts = new RolloutPlan.Facts(11_000, false, true, Set.of("v1"), evidence);
		assertThat(RolloutPlan.decide(ORDER, stage, facts, BOUNDS).stage().phase(), is(RolloutPhase.SAMPLE));
	}

	@Test
	void newerRequestStartsAnew() {
		RolloutStage stage = new RolloutStage(6, 9, RolloutPhase.ROLLED_BACK, 0, 0, 0, Set.of("v1"));
		RolloutPlan.Facts facts = new RolloutPlan.Facts(90_000, true, true, Set.of("v1"), FleetEvidence.sum(List.of()));
		RolloutStage next = RolloutPlan.decide(ORDER, stage, facts, BOUNDS).stage();
		assertThat(next.order(), is(7L));
		assertThat(next.phase(), is(RolloutPhase.SAMPLE));
		assertThat(next.supersedes(stage), is(true));
	}

	@Test
	void stageSurvivesItsText() {
		RolloutStage stage = new RolloutStage(6, 9, RolloutPhase.LOAD, 0.25, 12, Long.MAX_VALUE, Set.of("v1", "v 0"));
		assertThat(RolloutStage.parse(stage.toText()), is(stage));
	}

	private static Played play(long seed, double perSecond, int usualMillis, Version version) {
		Random random = new Random(seed);
		List<Run> runs = new ArrayList<>();
		RolloutStage stage = null;
		int sentNew = 0;
		int requests = 0;
		for (long now = 0; now < 14_000; now += 20) {
			if (stage == null || now % 100 == 0) {
				stage = RolloutPlan.decide(ORDER, stage, facts(now, requests, sentNew, runs), BOUNDS).stage();
			}
			if (stage.phase().isFinal()) {
				return new Played(stage.phase(), sentNew, now);
			}
			if (random.nextDouble() >= perSecond * 0.02) {
				continue;
			}
			requests++;
			int route = (random.nextDouble() < 0.2) ? 0 : 1;
			double share = (stage.phase() == RolloutPhase.FULL) ? 1 : stage.share();
			boolean isNew = random.nextDouble() < share;
			sentNew += isNew ? 1 : 0;
			Outcome outcome = isNew ? version.serve(random.nextDouble(), route, now, share) : Outcome.of(false, 1);
			double spread = outcome.slowness() * (0.8 + 0.4 * random.nextDouble());
			runs.add(new Run(isNew, "r" + route, now, Math.round(300 * spread), Math.round(usualMillis * spread),
					outcome.failed()));
		}
		throw new AssertionError("the rollout did not end");
	}

	private static RolloutPlan.Facts facts(long now, int requests, int sentNew, List<Run> runs) {
		List<RouteEvidence> routes = new ArrayList<>();
		boolean oldIdle = true;
		for (Run run : runs) {
			long age = now - run.start() - 500;
			boolean ended = age >= (run.failed() ? run.first() : run.total());
			oldIdle &= run.isNew() || ended;
			routes.add(new RouteEvidence(run.route(), run.isNew(), ended ? 1 : 0, (ended && run.failed()) ? 1 : 0, 0,
					(age >= run.first()) ? TimeCounts.NONE.with(run.first()) : TimeCounts.NONE,
					(ended && !run.failed()) ? TimeCounts.NONE.with(run.total()) : TimeCounts.NONE));
		}
		FleetEvidence evidence = FleetEvidence.sum(List.of(new FleetEvidence(requests, sentNew, routes)));
		return new RolloutPlan.Facts(now, true, oldIdle, Set.of("v1"), evidence);
	}

	/**
	 * Behaviour of a new version.
	 *
	 * @author banyanstile contributors
	 */
	private interface Version {

		Outcome serve(double point, int route, long millis, double share);

	}

	/**
	 * How a version serves a request.
	 *
	 * @param failed whether the response is an error
	 * @param slowness ratio of its time to the usual one
	 * @author banyanstile contributors
	 */
	private record Outcome(boolean failed, double slowness) {

		static Outcome of(boolean failed, double slowness) {
			return new Outcome(failed, slowness);
		}

	}

	/**
	 * A request.
	 *
	 * @author banyanstile contributors
	 */
	private record Run(boolean isNew, String route, long start, long first, long total, boolean failed) {

	}

	/**
	 * End of a rollout.
	 *
	 * @author banyanstile contributors
	 */
	private record Played(RolloutPhase phase, int sentNew, long endMillis) {

	}

}
