package org.banyanstile.server.gossip;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import org.banyanstile.core.canary.RolloutOrder;
import org.banyanstile.core.canary.RolloutStage;
import org.banyanstile.core.membership.RegisteredVms;
import org.banyanstile.core.quarantine.TrialRow;
import org.banyanstile.core.quarantine.TrialWrite;
import org.banyanstile.core.stream.ServedVersion;
import org.banyanstile.core.stream.StreamOrigin;
import org.banyanstile.server.router.DecisionLog;
import org.banyanstile.server.view.FleetTable;
import org.banyanstile.server.view.RoleChangeOwnerRow;
import org.banyanstile.server.view.RolloutRow;
import org.banyanstile.server.view.StreamWrite;
import org.banyanstile.server.view.TableRead;
import org.banyanstile.server.view.TableSource;
import org.banyanstile.server.view.TableSourceException;
import org.banyanstile.server.view.VmRow;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.containsInAnyOrder;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

/**
 * Tests for {@link VmRegistration}.
 *
 * @author banyanstile contributors
 */
class VmRegistrationTests {

	private final RowSource source = new RowSource();

	private final Membership membership = Membership.of(member("vm2", 1));

	private long now;

	private final VmRegistration registration = VmRegistration.create(this.source, this.source::era, this.membership,
			() -> this.now, DecisionLog.create());

	private static GossipMember member(String vm, long heartbeat) {
		return new GossipMember(vm, 1, heartbeat, "dc", "127.0.0.1:1", address(vm), MemberState.SERVING.ordinal());
	}

	private static String address(String vm) {
		return "127.0.0.1:" + (vm.charAt(2) - '0');
	}

	@Test
	void knowsRegisteredVmsWithoutAHeartbeat() throws Exception {
		this.source.add("vm1");
		this.source.add("vm3");
		assertThat(this.registration.reconcile(), containsInAnyOrder(address("vm1"), address("vm3")));
		assertThat(this.registration.others(), containsInAnyOrder("vm1", "vm3"));
	}

	@Test
	void vmOfRankZeroRemovesTheRowOfAVmWithoutAHeartbeatForAMinute() throws Exception {
		this.source.add("vm3");
		this.registration.reconcile();
		this.now += RegisteredVms.MISSING_NANOS;
		this.registration.reconcile();
		assertThat(this.source.names(), contains("vm2"));
		assertThat(this.registration.others(), empty());
	}

	@Test
	void rowOfAVmWithHeartbeatsStays() throws Exception {
		this.source.add("vm3");
		this.registration.reconcile();
		for (int i = 0; i < 8; i++) {
			this.now += RegisteredVms.MISSING_NANOS / 6;
			this.membership.merge(List.of(member("vm3", i + 1)), this.now);
			this.registration.reconcile();
		}
		assertThat(this.source.names(), containsInAnyOrder("vm2", "vm3"));
	}

	@Test
	void otherVmsRemoveNoRow() throws Exception {
		this.source.add("vm1");
		this.source.add("vm3");
		this.registration.reconcile();
		this.now += RegisteredVms.MISSING_NANOS;
		this.membership.merge(List.of(member("vm1", 7)), this.now);
		this.registration.reconcile();
		assertThat(this.source.names(), containsInAnyOrder("vm1", "vm2", "vm3"));
		assertThat(this.registration.others(), contains("vm1"));
	}

	@Test
	void rowWithAnInvalidNameDoesNotHideOtherRows() throws Exception {
		this.source.rows.add(new VmRow("", "127.0.0.1:4", 100));
		this.source.rows.add(new VmRow("vm 4", "127.0.0.1:4", 101));
		this.source.add("vm3");
		assertThat(this.registration.reconcile(), containsInAnyOrder(address("vm3")));
		assertThat(this.registration.others(), containsInAnyOrder("vm3"));
	}

	@Test
	void vmWritesItsRowAgainAfterItWasRemoved() throws Exception {
		this.registration.reconcile();
		this.source.rows.clear();
		this.registration.reconcile();
		assertThat(this.source.names(), contains("vm2"));
	}

	@Test
	void rowThatTheStoreMayHaveLostIsLookedAtAtOnce() throws Exception {
		this.registration.reconcile();
		assertThat(this.registration.isRowLost(), is(false));
		this.source.era = 2;
		this.now += 30_000_000_000L;
		assertThat(this.registration.isRowLost(), is(true));
		assertThat(this.registration.isRowLost(), is(false));
		this.source.era = 3;
		this.now += 60_000_000_000L;
		assertThat(this.registration.isRowLost(), is(false));
	}

	/**
	 * Store that holds only rows of VMs.
	 *
	 * @author banyanstile contributors
	 */
	private static final class RowSource implements TableSource {

		private final List<VmRow> rows = new ArrayList<>();

		private long version;

		private long era = 1;

		private void add(String vm) {
			this.rows.add(new VmRow(vm, address(vm), ++this.version));
		}

		private List<String> names() {
			return this.rows.stream().map(VmRow::vm).toList();
		}

		@Override
		public long era() {
			return this.era;
		}

		@Override
		public TableRead readAll(FleetTable table) throws TableSourceException {
			throw new TableSourceException("no table " + table, null);
		}

		@Override
		public TableRead changes(FleetTable table, long after, Duration wait) throws TableSourceException {
			throw new TableSourceException("no table " + table, null);
		}

		@Override
		public void register(String vm, String peerAddress) {
			this.rows.add(new VmRow(vm, peerAddress, ++this.version));
		}

		@Override
		public List<VmRow> registered() {
			return List.copyOf(this.rows);
		}

		@Override
		public void unregister(VmRow row) {
			this.rows.remove(row);
		}

		@Override
		public RoleChangeOwnerRow roleChangeOwner() {
			return new RoleChangeOwnerRow(0, "");
		}

		@Override
		public long writeRoleChangeOwner(String vm, long expectedVersion) {
			return -1;
		}

		@Override
		public RolloutRow rollout(String service) {
			return new RolloutRow(0, null);
		}

		@Override
		public long writeRollout(RolloutOrder order, RolloutStage stage, long expectedVersion) {
			return -1;
		}

		@Override
		public TrialWrite writeTrials(List<TrialRow> rows) {
			return TrialWrite.ofRejected(rows);
		}

		@Override
		public void writeStreams(StreamWrite write) {
			// Streams are not part of these tests.
		}

		@Override
		public StreamOrigin streamOrigin(String attempt) {
			return null;
		}

		@Override
		public List<ServedVersion> servedVersions() {
			return List.of();
		}

		@Override
		public List<String> oldStreams(long minAgeMillis) {
			return List.of();
		}

	}

}
