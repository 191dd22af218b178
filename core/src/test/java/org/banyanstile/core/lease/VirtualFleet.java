package org.banyanstile.core.lease;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;

import org.banyanstile.core.common.DataCentreId;
import org.banyanstile.core.common.VmId;
import org.banyanstile.core.membership.VmState;
import org.banyanstile.core.store.MemoryTableStore;
import org.banyanstile.core.store.TextRowCodec;
import org.banyanstile.core.store.TransactionResult;

/**
 * Several VMs over one table store in virtual time, with killed, frozen and isolated VMs,
 * store outages and lost replies. Clocks of the VMs have different origins.
 *
 * @author banyanstile contributors
 */
final class VirtualFleet {

	static final long SECOND = 1_000_000_000L;

	static final long STEP = SECOND / 20;

	static final List<String> PARTITIONS = List.of("team/0", "team/1", "team/2", "request/0", "request/1");

	private static final long TIMEOUT = 2 * SECOND;

	private static final long LIST_LAG = 10 * SECOND;

	final MemoryTableStore store = new MemoryTableStore();

	final Map<String, Node> nodes = new HashMap<>();

	final Random random;

	boolean storeDown;

	double lostReplies;

	long storeDelay = SECOND / 500;

	long heartbeatDelay;

	long now = 1000 * SECOND;

	private final PriorityQueue<Event> events = new PriorityQueue<>(
			Comparator.comparingLong(Event::at).thenComparingLong(Event::order));

	private final Map<VmId, Long> lastAlive = new HashMap<>();

	private long order;

	VirtualFleet(long seed) {
		this.random = new Random(seed);
	}

	Node start(String name) {
		Node node = new Node(name);
		this.nodes.put(name, node);
		return node;
	}

	void kill(String name) {
		this.nodes.remove(name);
	}

	void run(long seconds) {
		for (long end = this.now + seconds * SECOND; this.now < end;) {
			step();
		}
	}

	void step() {
		this.now += STEP;
		while (!this.events.isEmpty() && this.events.peek().at() <= this.now) {
			this.events.poll().action().run();
		}
		List.copyOf(this.nodes.values()).forEach(Node::step);
		check();
	}

	private void check() {
		Map<String, String> holders = new HashMap<>();
		for (Node node : this.nodes.values()) {
			if (node.frozen) {
				continue;
			}
			long time = node.clock();
			SlotRecord held = node.vm.serving(time) ? node.vm.held(time) : null;
			if (held != null) {
				claim(holders, SlotRecord.key(held.slot()), node);
			}
			node.vm.owned(time).keySet().forEach((partition) -> claim(holders, partition, node));
		}
	}

	private void claim(Map<String, String> holders, String resource, Node node) {
		String other = holders.put(resource, node.name);
		if (other != null) {
			throw new AssertionError("at " + (this.now / 1e9) + " s both " + other + " and " + node.name + " hold "
					+ resource + "\n" + this.nodes.values());
		}
	}

	String ownerOf(String partition) {
		return this.nodes.values()
			.stream()
			.filter((node) -> node.vm.tokenOf(partition, node.clock()) > 0)
			.map((node) -> node.name)
			.findFirst()
			.orElse(null);
	}

	long serving() {
		return this.nodes.values().stream().filter(Node::serving).count();
	}

	private void at(long time, Runnable action) {
		this.events.add(new Event(time, this.order++, action));
	}

	private List<VmId> listed() {
		return this.lastAlive.entrySet()
			.stream()
			.filter((entry) -> this.now - entry.getValue() < LIST_LAG)
			.map(Map.Entry::getKey)
			.toList();
	}

	/**
	 * One VM.
	 *
	 * @author banyanstile contributors
	 */
	final class Node {

		final String name;

		final VmCoordinator vm;

		boolean frozen;

		boolean isolatedFromStore;

		boolean isolatedFromPeers;

		private final long origin = VirtualFleet.this.random.nextLong() / 4;

		private final List<Runnable> buffered = new ArrayList<>();

		private StoreStep inFlight;

		private StoreStep.Read poll;

		private long headReadAt;

		private long lastHeartbeat = VirtualFleet.this.now - SECOND;

		Node(String name) {
			this.name = name;
			this.vm = VmCoordinator.create(
					new SlotRecord(0, VmId.of(name), 0, DataCentreId.of("dc"), "c", name, VmState.LIVE, ""), 8,
					new TextRowCodec(), VirtualFleet.this.random);
			this.vm.setPartitions(PARTITIONS);
		}

		long clock() {
			return VirtualFleet.this.now + this.origin;
		}

		long headAge() {
			return clock() - this.headReadAt;
		}

		boolean serving() {
			return !this.frozen && this.vm.serving(clock());
		}

		void resume() {
			this.frozen = false;
			List<Runnable> arrived = List.copyOf(this.buffered);
			this.buffered.clear();
			for (Runnable delivery : arrived) {
				delivery.run();
				check();
			}
		}

		void step() {
			VirtualFleet.this.lastAlive.put(VmId.of(this.name), VirtualFleet.this.now);
			if (this.frozen) {
				return;
			}
			this.vm.tick(clock());
			if (VirtualFleet.this.now - this.lastHeartbeat >= this.vm.heartbeatPeriodNanos(clock())) {
				heartbeats();
				this.vm.setListed(listed(), clock());
				this.lastHeartbeat = VirtualFleet.this.now;
			}
			if (this.inFlight == null) {
				this.inFlight = this.vm.next(clock());
				if (this.inFlight != null) {
					send(this.inFlight);
				}
			}
			if (this.poll == null) {
				this.poll = this.vm.headPoll().next(clock());
				if (this.poll != null) {
					send(this.poll);
				}
			}
		}

		private void heartbeats() {
			var round = this.vm.beginHeartbeats(clock());
			for (Node peer : VirtualFleet.this.nodes.values()) {
				if (peer != this && !this.isolatedFromPeers && !peer.isolatedFromPeers) {
					var heartbeat = this.vm.completeHeartbeat(round, VmId.of(peer.name), true);
					long delay = VirtualFleet.this.heartbeatDelay
							+ SECOND / 1000 * (1 + VirtualFleet.this.random.nextInt(20));
					at(VirtualFleet.this.now + delay,
							() -> peer.deliver(() -> peer.vm.receive(heartbeat, peer.clock())));
				}
			}
		}

		private void deliver(Runnable delivery) {
			if (this.frozen) {
				this.buffered.add(delivery);
			}
			else {
				delivery.run();
			}
		}

		private void send(StoreStep step) {
			VirtualFleet fleet = VirtualFleet.this;
			if (fleet.storeDown) {
				reply(step, new StoreReply.Failed(), fleet.now + SECOND / 1000);
				return;
			}
			at(fleet.now + TIMEOUT, () -> deliver(() -> finish(step, new StoreReply.Unknown())));
			long delay = fleet.storeDelay;
			if (this.isolatedFromStore) {
				// A packet that was in transit when the connection broke can still
				// arrive.
				delay = (long) (fleet.random.nextDouble() * 30 * SECOND);
			}
			at(fleet.now + delay, () -> arrive(step));
		}

		private void arrive(StoreStep step) {
			VirtualFleet fleet = VirtualFleet.this;
			if (fleet.storeDown) {
				return;
			}
			StoreReply reply = apply(step);
			if (!this.isolatedFromStore && fleet.random.nextDouble() >= fleet.lostReplies) {
				reply(step, reply, fleet.now + fleet.storeDelay);
			}
		}

		private StoreReply apply(StoreStep step) {
			if (step instanceof StoreStep.Transact transact) {
				TransactionResult result = VirtualFleet.this.store.apply(transact.transaction());
				return new StoreReply.Decided(result);
			}
			if (step instanceof StoreStep.Scan scan) {
				return new StoreReply.Rows(VirtualFleet.this.store.withPrefix(scan.prefix()));
			}
			return new StoreReply.Rows(VirtualFleet.this.store.find(((StoreStep.Read) step).keys()));
		}

		private void reply(StoreStep step, StoreReply reply, long time) {
			at(time, () -> deliver(() -> finish(step, reply)));
		}

		private void finish(StoreStep step, StoreReply reply) {
			if (this.inFlight == step) {
				this.inFlight = null;
				this.vm.complete(step, reply, clock());
			}
			else if (this.poll == step) {
				this.poll = null;
				this.vm.headPoll().complete((StoreStep.Read) step, reply, clock());
				this.headReadAt = (reply instanceof StoreReply.Rows) ? step.sentAt() : this.headReadAt;
			}
		}

		@Override
		public String toString() {
			return this.name + "(frozen=" + this.frozen + ", slot=" + this.vm.held(clock()) + ", owned="
					+ this.vm.owned(clock()) + ", storeAge=" + this.vm.storeAgeMillis(clock()) + ")";
		}

	}

	/**
	 * Scheduled event.
	 *
	 * @param at the time
	 * @param order order among events at the same time
	 * @param action the action
	 * @author banyanstile contributors
	 */
	private record Event(long at, long order, Runnable action) {

	}

}
