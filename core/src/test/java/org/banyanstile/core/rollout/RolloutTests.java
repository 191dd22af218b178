package org.banyanstile.core.rollout;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import org.banyanstile.core.common.VmId;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

/**
 * Tests for {@link VersionHolder}, {@link Freshness}, {@link AcceptanceTracker} and
 * {@link PeerBootstrap}.
 *
 * @author banyanstile contributors
 */
class RolloutTests {

	private static final long SECOND = 1_000_000_000L;

	private final Freshness freshness = Freshness.create();

	private final AcceptanceTracker tracker = AcceptanceTracker.create();

	private static Set<VmId> vms(String... names) {
		return Stream.of(names).map(VmId::of).collect(Collectors.toSet());
	}

	private static Map<VmId, Long> reported(long a, long b, long c) {
		Map<VmId, Long> reported = new HashMap<>();
		reported.put(VmId.of("a"), a);
		reported.put(VmId.of("b"), b);
		reported.put(VmId.of("c"), c);
		return reported;
	}

	/**
	 * Guards against a withdrawn key that works again after a slow fetch of an older
	 * version completes.
	 */
	@Test
	void anOlderVersionIsNeverApplied() {
		VersionHolder<String> holder = VersionHolder.create();
		assertThat(holder.apply(2, "withdrawn"), is(true));
		assertThat(holder.apply(1, "active"), is(false));
		assertThat(holder.apply(2, "other"), is(false));
		assertThat(holder.current(), is(new AppliedVersion<>(2, "withdrawn")));
	}

	/**
	 * Guards against a delayed old read that confirms an old version.
	 */
	@Test
	void aDelayedOldReadAfterANewerVersionIsRejected() {
		this.freshness.registered(0);
		this.freshness.applied(1);
		assertThat(this.freshness.read(2, SECOND), is(HeadRead.BEHIND));
		assertThat(this.freshness.read(1, 2 * SECOND), is(HeadRead.STALE));
		assertThat(this.freshness.isFresh(2 * SECOND), is(false));
		this.freshness.applied(2);
		assertThat(this.freshness.isFresh(2 * SECOND), is(true));
		assertThat(this.freshness.read(1, 4 * SECOND), is(HeadRead.STALE));
		assertThat(this.freshness.isFresh(5 * SECOND), is(false));
	}

	/**
	 * Guards against a VM that resumes, processes the reply to a read that it sent before
	 * the pause, and serves with a key withdrawn meanwhile.
	 */
	@Test
	void aReplyThatArrivesAfterAPauseConfirmsNothing() {
		this.freshness.registered(0);
		this.freshness.applied(1);
		assertThat(this.freshness.read(1, SECOND), is(HeadRead.CONFIRMED));
		assertThat(this.freshness.isFresh(2 * SECOND), is(true));
		assertThat(this.freshness.read(1, 2 * SECOND), is(HeadRead.CONFIRMED));
		assertThat(this.freshness.isFresh(60 * SECOND), is(false));
	}

	/**
	 * Guards against confirming an old row of a lagging replica after a peer reported a
	 * later version.
	 */
	@Test
	void anOldRowBelowAPeersVersionIsRejected() {
		this.freshness.registered(0);
		this.freshness.applied(1);
		this.freshness.reported(2);
		assertThat(this.freshness.read(1, SECOND), is(HeadRead.STALE));
		assertThat(this.freshness.isFresh(SECOND), is(false));
	}

	/**
	 * Guards against a starting VM that serves after a read of the head before it was
	 * registered: later versions can be accepted without it.
	 */
	@Test
	void aReadBeforeRegistrationConfirmsNothing() {
		this.freshness.applied(1);
		assertThat(this.freshness.read(1, SECOND), is(HeadRead.CONFIRMED));
		assertThat(this.freshness.isFresh(SECOND), is(false));
		this.freshness.registered(2 * SECOND);
		assertThat(this.freshness.isFresh(2 * SECOND), is(false));
		this.freshness.read(1, SECOND + SECOND / 2);
		assertThat("reply after the registration", this.freshness.isFresh(2 * SECOND), is(false));
		this.freshness.read(1, 3 * SECOND);
		assertThat(this.freshness.isFresh(3 * SECOND), is(true));
	}

	@Test
	void acceptedOnceAllAcknowledged() {
		this.tracker.committed(2, 0);
		assertThat(this.tracker.evaluate(vms("a", "b", "c"), SECOND, reported(2, 2, 1), SECOND).accepted(), is(false));
		RolloutProgress all = this.tracker.evaluate(vms("a", "b", "c"), SECOND, reported(2, 2, 3), SECOND);
		assertThat(all.accepted(), is(true));
		assertThat(all.missing(), is(empty()));
		this.tracker.committed(3, 2 * SECOND);
		assertThat(this.tracker.evaluate(vms("a", "b", "c"), 3 * SECOND, reported(2, 2, 3), 3 * SECOND).accepted(),
				is(false));
	}

	/**
	 * Guards against accepting without a VM that registered after the last scan.
	 */
	@Test
	void aListOfVmsFromBeforeTheCommitDoesNotCount() {
		this.tracker.committed(2, 2 * SECOND);
		assertThat(this.tracker.evaluate(vms("a", "b"), SECOND, reported(2, 2, 0), 3 * SECOND).accepted(), is(false));
		assertThat(this.tracker.evaluate(vms("a", "b"), 3 * SECOND, reported(2, 2, 0), 3 * SECOND).accepted(),
				is(true));
	}

	/**
	 * A key is withdrawn while one VM is frozen: the version is accepted after 5 s, when
	 * that VM has stopped serving.
	 */
	@Test
	void acceptedByMajorityOnlyAfterTheOthersHaveStopped() {
		this.tracker.committed(2, 0);
		for (long t = SECOND; t < 5 * SECOND; t += SECOND / 2) {
			assertThat(this.tracker.evaluate(vms("a", "b", "c"), t, reported(2, 2, 1), t).accepted(), is(false));
		}
		RolloutProgress progress = this.tracker.evaluate(vms("a", "b", "c"), 0, reported(2, 2, 1), 5 * SECOND);
		assertThat(progress.accepted(), is(true));
		assertThat(progress.acknowledged(), is(2));
		assertThat(progress.missing(), is(List.of(VmId.of("c"))));
	}

	/**
	 * Guards against accepting at once when the majority acknowledges late: heartbeats
	 * from before could still let the third VM serve under the outage rule.
	 */
	@Test
	void aLateMajorityMustPersist() {
		this.tracker.committed(2, 0);
		this.tracker.evaluate(vms("a", "b", "c"), 0, reported(2, 1, 1), 8 * SECOND);
		assertThat(this.tracker.evaluate(vms("a", "b", "c"), 0, reported(2, 2, 1), 9 * SECOND).accepted(), is(false));
		assertThat(this.tracker.evaluate(vms("a", "b", "c"), 0, reported(2, 2, 1), 12 * SECOND).accepted(), is(true));
	}

	@Test
	void notAcceptedWithoutAMajority() {
		this.tracker.committed(2, 0);
		assertThat(this.tracker.evaluate(vms("a", "b", "c", "d"), 0, reported(2, 2, 1), 60 * SECOND).accepted(),
				is(false));
		assertThat(this.tracker.evaluate(Set.of(), SECOND, Map.of(), 60 * SECOND).accepted(), is(false));
	}

	/**
	 * Guards against a VM that starts during a store outage with the version of a peer
	 * that has missed the withdrawal of a key.
	 */
	@Test
	void aStartingVmTakesTheHighestVersionOfAMajority() {
		PeerVersion old = new PeerVersion(VmId.of("c"), 1, vms("c"));
		PeerVersion newer = new PeerVersion(VmId.of("a"), 2, vms("a", "b", "c"));
		PeerVersion starting = new PeerVersion(VmId.of("d"), 0, Set.of());
		assertThat(PeerBootstrap.choose(List.of(newer)).isPresent(), is(false));
		assertThat(PeerBootstrap.choose(List.of(newer, starting)).isPresent(), is(false));
		assertThat(PeerBootstrap.choose(List.of(old, newer, starting)).orElseThrow(), is(newer));
		assertThat(PeerBootstrap.choose(List.of(newer, newer)).isPresent(), is(false));
		assertThat(PeerBootstrap.choose(List.of()).isPresent(), is(false));
	}

}
