package org.banyanstile.core.membership;

import java.util.List;

import org.banyanstile.core.common.VmId;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.notNullValue;
import static org.hamcrest.Matchers.nullValue;

/**
 * Tests for {@link PeerTable}, {@link RegisteredVms} and {@link StoreQuorum}.
 *
 * @author banyanstile contributors
 */
class PeerTableTests {

	private static final long SECOND = 1_000_000_000L;

	private static final VmId A = VmId.of("vm-a");

	private static final VmId B = VmId.of("vm-b");

	private final PeerTable peers = PeerTable.create(1000);

	private static Heartbeat heartbeat(long storeAge, long echo) {
		return new Heartbeat(B, 1, 1, 1, storeAge, VmState.LIVE, true, 7, echo);
	}

	@Test
	void heartbeatsBufferedDuringAPauseAreNoEvidence() {
		long round = this.peers.beginRound(10 * SECOND);
		this.peers.receive(heartbeat(5000, round), 10 * SECOND);
		assertThat(this.peers.recent(B, 12 * SECOND), notNullValue());
		this.peers.receive(heartbeat(5000, round), 40 * SECOND);
		assertThat("received now, sent up to 30 s ago", this.peers.recent(B, 40 * SECOND), nullValue());
		this.peers.receive(heartbeat(0, this.peers.beginRound(40 * SECOND)), 41 * SECOND);
		assertThat(this.peers.recent(B, 41 * SECOND).heartbeat().storeAgeMillis(), is(0L));
	}

	@Test
	void echoesOfAnEarlierProcessAreNoEvidence() {
		this.peers.beginRound(0);
		for (long echo : new long[] { 0, 999, 1001, Long.MAX_VALUE }) {
			this.peers.receive(heartbeat(0, echo), 0);
		}
		assertThat(this.peers.recent(0), empty());
		assertThat(this.peers.echoFor(B), is(7L));
		this.peers.beginRound(61 * SECOND);
		assertThat("a VM without heartbeats is removed", this.peers.echoFor(B), is(0L));
	}

	@Test
	void promiseIsMeasuredFromTheEchoedRound() {
		long round = this.peers.beginRound(0);
		this.peers.receive(heartbeat(0, round), SECOND);
		PeerReport report = this.peers.recent(B, 2 * SECOND);
		assertThat(report.isFloorSuspended(3 * SECOND - 1, 3 * SECOND), is(true));
		assertThat(report.isFloorSuspended(3 * SECOND, 3 * SECOND), is(false));
	}

	@Test
	void vmIsDroppedAfterSixtySecondsOffTheListButNotWhileTheListFails() {
		RegisteredVms registered = new RegisteredVms();
		registered.setNamed(List.of(A, B));
		registered.setListed(List.of(A), 0);
		assertThat("no list was read since", registered.all(), hasSize(2));
		registered.setListed(List.of(A), 60 * SECOND - 1);
		assertThat(registered.all(), hasSize(2));
		registered.setListed(List.of(A), 60 * SECOND);
		assertThat(registered.all(), hasSize(1));
		registered.setListed(List.of(A, B), 61 * SECOND);
		assertThat(registered.all(), hasSize(2));
	}

	@Test
	void storeQuorumMustPersistAndIsLostByAPauseOfTheObserver() {
		RegisteredVms registered = new RegisteredVms();
		registered.setNamed(List.of(A));
		ServingGate gate = ServingGate.create(A, this.peers, registered);
		StoreQuorum quorum = StoreQuorum.create(gate);
		for (long t = 0; t < 4 * SECOND; t += SECOND) {
			gate.contacted(t);
			assertThat(quorum.permitsTakeover(t), is(false));
		}
		gate.contacted(4 * SECOND);
		assertThat(quorum.permitsTakeover(4 * SECOND), is(true));
		gate.contacted(10 * SECOND);
		assertThat(quorum.permitsTakeover(10 * SECOND), is(false));
	}

}
