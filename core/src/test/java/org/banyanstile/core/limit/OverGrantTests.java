package org.banyanstile.core.limit;

import java.util.function.LongFunction;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

/**
 * Guards against a team getting more than its rate and burst in any window of time, under
 * lost and delayed messages, paused VMs and changes of the owner.
 *
 * @author banyanstile contributors
 */
class OverGrantTests {

	private static final TeamLimit LIMIT = new TeamLimit(2000, 4000);

	private static FleetSimulation run(long seed, LongFunction<FleetSimulation.Granter> naive) {
		FleetSimulation simulation = new FleetSimulation(seed, 5, LIMIT, 0.05, naive);
		simulation.run(600, 0.15);
		return simulation;
	}

	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20 })
	void noWindowExceedsBurstPlusRefill(long seed) {
		FleetSimulation simulation = run(seed, null);
		assertThat("over-grant, seed " + seed, simulation.checker.overGrant(LIMIT), lessThanOrEqualTo(0.0));
		assertThat("tokens used, seed " + seed, simulation.checker.total(), greaterThan(100_000L));
		assertThat("owner changes, seed " + seed, simulation.ownerChanges, greaterThan(2));
		assertThat("uses of floors, seed " + seed, simulation.floorUses, greaterThan(0));
	}

	/**
	 * The checker must detect an owner that counts neither outstanding grants nor the
	 * shares in use as floors.
	 */
	@Test
	void ownerThatIgnoresOutstandingGrantsIsDetected() {
		FleetSimulation simulation = run(1, NaiveOwner::new);
		assertThat(simulation.checker.overGrant(LIMIT), greaterThan(0.0));
	}

	/**
	 * Counts tokens as spent when they are granted, refills at the full rate and credits
	 * all returned tokens.
	 */
	private static final class NaiveOwner implements FleetSimulation.Granter {

		private final long token;

		private double level = LIMIT.burstTokens();

		private long refilledAt = Long.MIN_VALUE;

		private NaiveOwner(long token) {
			this.token = token;
		}

		@Override
		public GrantReply grant(GrantRequest request, long now) {
			if (this.refilledAt != Long.MIN_VALUE) {
				this.level += (now - this.refilledAt) * 1e-9 * LIMIT.tokensPerSecond();
			}
			this.refilledAt = now;
			this.level = Math.min(LIMIT.burstTokens(), this.level + request.returned());
			long tokens = (this.level >= request.needed()) ? Math.min((long) this.level, request.wanted()) : 0;
			this.level -= tokens;
			return new GrantReply(tokens, LimitTimes.GRANT_NANOS, (tokens > 0) ? 0 : 1, now, this.token);
		}

	}

}
