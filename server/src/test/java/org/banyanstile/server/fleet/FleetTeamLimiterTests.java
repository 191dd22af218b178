package org.banyanstile.server.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;

import org.banyanstile.config.FleetConfiguration;
import org.banyanstile.config.Limits;
import org.banyanstile.config.Team;
import org.banyanstile.core.common.TeamId;
import org.banyanstile.core.common.VmId;
import org.banyanstile.core.limit.TeamLimits;
import org.banyanstile.server.caller.LimitDecision;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

/**
 * Tests for {@link FleetTeamLimiter} with two connected VMs and an injected clock.
 *
 * @author banyanstile contributors
 */
class FleetTeamLimiterTests {

	private static final long SECOND = 1_000_000_000L;

	private static final TeamId TEAM = TeamId.of("team-1");

	private static final String PARTITION = Partitions.team(TeamLimits.partition(TEAM, Partitions.COUNT));

	private final TestFleet fleet = new TestFleet();

	private final AtomicLong clock = new AtomicLong(100 * SECOND);

	private final List<FleetTeamLimiter> limiters = new ArrayList<>();

	@BeforeEach
	void start() throws Exception {
		List<TestFleet.Node> nodes = List.of(this.fleet.add("vm-1"), this.fleet.add("vm-2"));
		this.fleet.setOwner(PARTITION, nodes.get(0));
		FleetConfiguration configuration = FleetConfiguration.builder("test")
			.team(Team.builder(TEAM.name()).rate(100, 1000).build())
			.limits(Limits.of(1000, 1000, 1000))
			.build();
		for (int i = 0; i < nodes.size(); i++) {
			TestFleet.Node node = nodes.get(i);
			FleetTeamLimiter limiter = FleetTeamLimiter.create(node, new FixedSlots(i, nodes),
					Messenger.over(node.peers), 2, this.clock::get, node.handlers);
			limiter.configure(configuration);
			this.limiters.add(limiter);
		}
		this.fleet.connect();
	}

	@AfterEach
	void close() {
		this.fleet.close();
	}

	/**
	 * Advances the clock in steps of 1 s. Promises are exchanged as messages, so each
	 * step waits for a grant request that follows them.
	 * @param seconds the time
	 */
	private void advance(int seconds) {
		for (int i = 0; i < seconds; i++) {
			this.clock.addAndGet(SECOND);
			this.limiters.forEach(FleetTeamLimiter::update);
			this.limiters.get(1).reserve(TEAM, 1000);
			this.limiters.get(1).reserve(TEAM, 1000);
		}
	}

	private long spendAll() {
		long spent = 0;
		while (this.limiters.get((int) (spent / 10 % 2)).reserve(TEAM, 10) instanceof LimitDecision.Reserved) {
			spent += 10;
		}
		return spent;
	}

	/**
	 * Guards against two VMs that together spend more than the burst.
	 */
	@Test
	void bothVmsTogetherSpendNoMoreThanTheBurst() {
		advance(8);
		long spent = spendAll();
		assertThat(spent, is(greaterThan(300L)));
		assertThat(spent, is(lessThanOrEqualTo(1000L)));
		assertThat(this.limiters.get(0).reserve(TEAM, 10), is(instanceOf(LimitDecision.Limited.class)));
	}

	@Test
	void refusesARequestAboveTheBurstPermanently() {
		assertThat(this.limiters.get(1).reserve(TEAM, 1001), is(new LimitDecision.TooLarge(1000)));
	}

	/**
	 * VM slots of the test.
	 *
	 * @param slot slot of this VM
	 * @param nodes all VMs
	 * @author banyanstile contributors
	 */
	private record FixedSlots(int slot, List<TestFleet.Node> nodes) implements SlotView {

		@Override
		public long epoch() {
			return 1;
		}

		@Override
		public Unheld unheld() {
			return null;
		}

		@Override
		public Collection<VmId> holders() {
			return this.nodes.stream().map((node) -> node.vm).toList();
		}

	}

}
