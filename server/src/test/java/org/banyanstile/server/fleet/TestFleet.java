package org.banyanstile.server.fleet;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;

import org.banyanstile.core.common.VmId;
import org.banyanstile.core.membership.Heartbeat;
import org.banyanstile.core.membership.VmState;
import org.banyanstile.server.vm.MessageHandlers;
import org.banyanstile.server.vm.VmIdentity;
import org.banyanstile.server.vm.VmMessages;
import org.banyanstile.server.vm.VmPeers;
import org.jspecify.annotations.Nullable;

/**
 * Connections between VMs on loopback, with owners of partitions that a test sets.
 *
 * @author banyanstile contributors
 */
final class TestFleet implements AutoCloseable {

	private static final String KEY = "00112233445566778899aabbccddeeff";

	private final Map<String, VmId> owners = new ConcurrentHashMap<>();

	private final List<Node> nodes = new ArrayList<>();

	Node add(String name) throws IOException {
		String address;
		try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
			address = "127.0.0.1:" + socket.getLocalPort();
		}
		Node node = new Node(VmId.of(name), address);
		this.nodes.add(node);
		return node;
	}

	void connect() throws IOException {
		List<String> addresses = this.nodes.stream().map((node) -> node.address).toList();
		for (Node node : this.nodes) {
			node.peers.setHeartbeats(() -> (to) -> new Heartbeat(node.vm, 0, 1, 1, 0, VmState.LIVE, true, 1, 1));
			node.handlers.registerInline(Heartbeat.class, (from, heartbeat) -> null);
			node.peers.start();
			node.peers.setAddresses(addresses);
		}
		for (Node node : this.nodes) {
			await(() -> node.peers.connected().size() == this.nodes.size() - 1);
		}
	}

	void setOwner(String partition, @Nullable Node node) {
		if (node == null) {
			this.owners.remove(partition);
		}
		else {
			this.owners.put(partition, node.vm);
		}
	}

	static void await(BooleanSupplier condition) {
		long deadline = System.nanoTime() + 5_000_000_000L;
		while (!condition.getAsBoolean()) {
			if (System.nanoTime() - deadline > 0) {
				throw new AssertionError("condition does not hold after 5 s");
			}
			LockSupport.parkNanos(5_000_000);
		}
	}

	@Override
	public void close() {
		this.nodes.forEach((node) -> node.peers.close());
	}

	/**
	 * A VM.
	 *
	 * @author banyanstile contributors
	 */
	final class Node implements Ownership {

		final VmId vm;

		final MessageHandlers handlers = new MessageHandlers();

		final VmPeers peers;

		private final String address;

		private Node(VmId vm, String address) {
			this.vm = vm;
			this.address = address;
			this.peers = VmPeers.create(new VmIdentity(vm, address, KEY), VmMessages.codec(), this.handlers);
		}

		@Override
		public VmId self() {
			return this.vm;
		}

		@Override
		public @Nullable VmId ownerOf(String partition) {
			return TestFleet.this.owners.get(partition);
		}

		@Override
		public long tokenOf(String partition) {
			return this.vm.equals(ownerOf(partition)) ? 1 : 0;
		}

		@Override
		public int registeredVms() {
			return TestFleet.this.nodes.size();
		}

	}

}
