package org.banyanstile.server.gossip;

import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;

import org.banyanstile.core.catalog.Catalog;
import org.banyanstile.core.catalog.EndpointRole;
import org.banyanstile.core.catalog.RegisteredEndpoint;
import org.banyanstile.core.common.Ticker;
import org.banyanstile.core.replica.ReplicaRow;
import org.banyanstile.server.router.DecisionLog;
import org.banyanstile.server.view.FleetTable;
import org.banyanstile.server.view.FleetView;
import org.banyanstile.server.view.MalformedRowException;
import org.banyanstile.server.view.RowDecoder;
import org.banyanstile.server.view.TableRead;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/**
 * Tests for {@link GossipNode} over loopback.
 *
 * @author banyanstile contributors
 */
class GossipNodeTests {

	private static final long TIMEOUT_NANOS = 10_000_000_000L;

	private final List<Vm> vms = new ArrayList<>();

	@AfterEach
	void close() {
		this.vms.forEach((vm) -> vm.node.close());
	}

	private Vm start(String name, Vm... seeds) throws Exception {
		Vm vm = new Vm(name);
		this.vms.add(vm);
		vm.node.setSeeds(List.of(seeds).stream().map((seed) -> seed.address).toList());
		return vm;
	}

	private static void await(BooleanSupplier condition) throws InterruptedException {
		long end = System.nanoTime() + TIMEOUT_NANOS;
		while (!condition.getAsBoolean()) {
			assertThat("condition not met in time", System.nanoTime() - end < 0, is(true));
			Thread.sleep(10);
		}
	}

	@Test
	void vmsThatKnowOneVmLearnOfEachOther() throws Exception {
		Vm one = start("vm-1");
		Vm two = start("vm-2", one);
		Vm three = start("vm-3", one);
		await(() -> two.knows("vm-3") && three.knows("vm-2") && one.knows("vm-2") && one.knows("vm-3"));
	}

	@Test
	void engineThatChangesItsRoleIsKnownToOtherVms() throws Exception {
		Vm one = start("vm-1");
		Vm two = start("vm-2", one);
		GossipRoleChange change = new GossipRoleChange("engine-1", EndpointRole.PREFILL.ordinal(), 6000);
		one.roleChanges.add(change);
		await(() -> two.received.stream().anyMatch((state) -> state.roleChanges().equals(List.of(change))));
	}

	@Test
	void vmThatLeavesIsKnownToLeaveAtOnce() throws Exception {
		Vm one = start("vm-1");
		Vm two = start("vm-2", one);
		await(() -> one.knows("vm-2"));
		two.state = MemberState.LEAVING;
		await(() -> one.membership.alivePeers(System.nanoTime())
			.stream()
			.anyMatch((member) -> member.state() == MemberState.LEAVING.ordinal()));
	}

	@Test
	void emptyRowDoesNotHideOtherRowsFromOtherVms() throws Exception {
		Vm one = start("vm-1");
		Vm two = start("vm-2", one);
		one.view.replace(FleetTable.ENDPOINTS, new TableRead(
				List.of(new ReplicaRow("a", 1, new byte[0]), new ReplicaRow("b", 2, new byte[] { 1 })), 2, 2));
		await(() -> two.view.version(FleetTable.ENDPOINTS) == 2);
	}

	@Test
	void largeMalformedRowDoesNotHideOtherRowsFromOtherVms() throws Exception {
		Vm one = start("vm-1");
		Vm two = start("vm-2", one);
		byte[] incompressible = new byte[65_536];
		new Random(1).nextBytes(incompressible);
		one.view.replace(FleetTable.ENDPOINTS, new TableRead(
				List.of(new ReplicaRow("a", 1, incompressible), new ReplicaRow("b", 2, new byte[] { 1 })), 2, 2));
		await(() -> two.view.version(FleetTable.ENDPOINTS) == 2);
	}

	@Test
	void vmThatIsBehindOrCutOffIsNotCurrent() throws Exception {
		Vm one = start("vm-1");
		Vm two = start("vm-2", one);
		Vm three = start("vm-3", one);
		await(() -> one.knows("vm-2") && one.knows("vm-3"));
		one.view.replace(FleetTable.ENDPOINTS, new TableRead(List.of(), 2, 2));
		await(() -> two.view.version(FleetTable.ENDPOINTS) == 2 && three.view.version(FleetTable.ENDPOINTS) == 2);
		assertThat(one.node.isCurrent(FleetTable.ENDPOINTS, Set.of("vm-2", "vm-3")), is(true));
		assertThat(one.node.isCurrent(FleetTable.ENDPOINTS, Set.of("vm-2", "vm-3", "vm-4")), is(true));
		assertThat(one.node.isCurrent(FleetTable.ENDPOINTS, Set.of("vm-2", "vm-4", "vm-5")), is(false));
		two.node.close();
		three.view.replace(FleetTable.ENDPOINTS, new TableRead(List.of(), 3, 3));
		assertThat(
				one.node.isCurrent(FleetTable.ENDPOINTS, Set.of("vm-3")) && one.view.version(FleetTable.ENDPOINTS) < 3,
				is(false));
	}

	@Test
	void unusableAddressOfAVmDoesNotKeepOthersFromGettingTheState() throws Exception {
		Vm one = start("vm-1");
		Vm two = start("vm-2");
		two.node.setSeeds(List.of("!nowhere", "!nowhere:7001", "!127.0.0.1:70000", "!127.0.0.1:x", one.address));
		await(() -> one.knows("vm-2") && two.knows("vm-1"));
	}

	/**
	 * An error of one round or one datagram ends neither thread.
	 * @throws Exception if a node cannot be started
	 */
	@Test
	void exchangeGoesOnAfterAnUnexpectedError() throws Exception {
		Vm one = start("vm-1");
		Vm two = start("vm-2", one);
		await(() -> one.knows("vm-2"));
		one.errors.set(4);
		await(() -> one.errors.get() == 0);
		int before = two.received.size();
		int receivedBefore = one.received.size();
		await(() -> one.received.size() > receivedBefore + 1 && two.received.size() > before + 1);
	}

	/**
	 * A VM with a fake local state.
	 */
	private static final class Vm implements GossipNode.LocalState {

		private final String address;

		private final Membership membership;

		private final List<GossipRoleChange> roleChanges = new CopyOnWriteArrayList<>();

		private final List<GossipState> received = new CopyOnWriteArrayList<>();

		private final FleetView view;

		private final GossipNode node;

		private final AtomicInteger errors = new AtomicInteger();

		private volatile MemberState state = MemberState.SERVING;

		private Vm(String name) throws Exception {
			int port;
			try (DatagramSocket socket = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
				port = socket.getLocalPort();
			}
			this.address = "127.0.0.1:" + port;
			this.membership = Membership
				.of(new GossipMember(name, 1, 0, "dc-1", "127.0.0.1:1", this.address, MemberState.SERVING.ordinal()));
			DecisionLog log = DecisionLog.create();
			this.view = FleetView.create(new NoRows(), Ticker.system(), log);
			this.node = GossipNode.start(new InetSocketAddress("127.0.0.1", port), this.membership, this.view, this,
					Ticker.system(), log);
		}

		private boolean knows(String name) {
			return this.membership.alivePeers(System.nanoTime())
				.stream()
				.anyMatch((member) -> member.vm().equals(name));
		}

		@Override
		public MemberState memberState() {
			return this.state;
		}

		// Called by the timer in each round.
		@Override
		public List<GossipLoad> loads() {
			failOnce();
			return List.of();
		}

		@Override
		public List<GossipUse> uses() {
			return List.of();
		}

		@Override
		public List<GossipRoleChange> roleChanges() {
			return List.copyOf(this.roleChanges);
		}

		@Override
		public GossipEngines engines() {
			return GossipEngines.none();
		}

		@Override
		public List<GossipLimit> limits() {
			return List.of();
		}

		@Override
		public List<GossipCrashes> crashes() {
			return List.of();
		}

		// Called by the receiver for each datagram.
		@Override
		public void received(GossipState next) {
			failOnce();
			this.received.add(next);
		}

		private void failOnce() {
			if (this.errors.getAndUpdate((left) -> Math.max(0, left - 1)) > 0) {
				throw new StackOverflowError("test");
			}
		}

	}

	/**
	 * Decoder for tables that stay empty.
	 */
	private static final class NoRows implements RowDecoder {

		@Override
		public boolean isCatalog(String key) {
			return false;
		}

		@Override
		public @Nullable String evacuatedDataCentre(String key) {
			return null;
		}

		@Override
		public Catalog decodeCatalog(byte[] value) throws MalformedRowException {
			throw new MalformedRowException("no rows", null);
		}

		@Override
		public RegisteredEndpoint decodeEndpoint(String id, byte[] value) throws MalformedRowException {
			throw new MalformedRowException("no rows", null);
		}

	}

}
