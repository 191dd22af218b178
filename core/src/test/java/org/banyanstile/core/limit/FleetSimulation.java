package org.banyanstile.core.limit;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.BitSet;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.function.LongFunction;

import org.banyanstile.core.common.TeamId;

/**
 * Simulates several VMs and the owner of one team bucket in virtual time, with lost and
 * delayed messages, paused VMs and changes of the owner. Each VM has its own clock.
 *
 * @author banyanstile contributors
 */
final class FleetSimulation {

	static final long MILLI = 1_000_000L;

	static final TeamId TEAM = TeamId.of("team");

	/**
	 * Number of attempts that marks a request whose caller disconnects before the owner
	 * replies, so that the grant stays unspent.
	 */
	private static final int CANCELLED = 100;

	private static final long STEP = 5 * MILLI;

	final WindowChecker checker = new WindowChecker();

	int ownerChanges;

	int floorUses;

	private final PriorityQueue<Event> events = new PriorityQueue<>(Comparator.comparingLong((event) -> event.at));

	private final List<Vm> vms = new ArrayList<>();

	private final SplittableRandom random;

	private final TeamLimit limit;

	private final double lossFraction;

	private final LongFunction<Granter> naive;

	private int owner;

	private long leaseUntil;

	private long token;

	private long now;

	private long phaseEndsAt;

	private double loadFactor;

	private long renewalsFailUntil;

	private final long[][] stalledUntil;

	FleetSimulation(long seed, int count, TeamLimit limit, double lossFraction, LongFunction<Granter> naive) {
		this.random = new SplittableRandom(seed);
		this.limit = limit;
		this.lossFraction = lossFraction;
		this.naive = naive;
		for (int i = 0; i < count; i++) {
			this.vms.add(new Vm(i, this.random.nextLong(-1_000_000_000_000L, 1_000_000_000_000L), count));
		}
		this.stalledUntil = new long[count][count];
		takeOver(0);
	}

	/**
	 * Runs the fleet. Phases of low load let buckets and floors fill, overload empties
	 * them in less than the validity of a grant.
	 * @param seconds the virtual time to run
	 * @param faultsPerSecond the rate of each kind of fault
	 */
	void run(long seconds, double faultsPerSecond) {
		double[] factors = { 0, 0, 0.5, 2, 40 };
		for (; this.now < seconds * 1000 * MILLI; this.now += STEP) {
			if (this.now >= this.phaseEndsAt) {
				this.phaseEndsAt = this.now + this.random.nextLong(200 * MILLI, 5_000 * MILLI);
				this.loadFactor = factors[this.random.nextInt(factors.length)];
			}
			injectFaults(faultsPerSecond * STEP * 1e-9);
			if (this.now > this.leaseUntil + 1000 * MILLI) {
				takeOver(this.random.nextInt(this.vms.size()));
			}
			deliver();
			for (Vm vm : this.vms) {
				if (this.now >= vm.pausedUntil) {
					vm.step(this.loadFactor);
				}
			}
		}
	}

	private void injectFaults(double probability) {
		int one = this.random.nextInt(this.vms.size());
		int other = this.random.nextInt(this.vms.size());
		if (this.random.nextDouble() < probability / 4) {
			this.vms.get(one).pausedUntil = this.now + this.random.nextLong(500 * MILLI, 30_000 * MILLI);
		}
		if (this.random.nextDouble() < probability * 4) {
			this.stalledUntil[one][other] = this.now + this.random.nextLong(1000 * MILLI, 12_000 * MILLI);
		}
		if (this.random.nextDouble() < probability / 4) {
			this.renewalsFailUntil = this.now + this.random.nextLong(10_000 * MILLI, 30_000 * MILLI);
		}
	}

	private void takeOver(int vm) {
		this.owner = vm;
		this.token++;
		this.leaseUntil = this.now + 15_000 * MILLI;
		this.ownerChanges++;
		Vm holder = this.vms.get(vm);
		holder.owned = TeamBucketOwner.takeOver(this.vms.size() + 1, this.token, holder.clock());
		holder.owned.configure(Map.of(TEAM, this.limit), holder.clock());
		holder.ownedUntil = this.leaseUntil;
		holder.granter = (this.naive != null) ? this.naive.apply(this.token) : holder.owned::grant;
	}

	private void deliver() {
		while (!this.events.isEmpty() && this.events.element().at <= this.now) {
			Event event = this.events.remove();
			if (this.now < event.to.pausedUntil) {
				event.at = event.to.pausedUntil;
				this.events.add(event);
			}
			else {
				event.action.run();
			}
		}
	}

	private void send(Vm from, Vm to, Runnable action) {
		if (this.random.nextDouble() >= this.lossFraction) {
			boolean slow = this.random.nextInt(50) == 0;
			this.events.add(new Event(this.now + this.random.nextLong(MILLI, (slow ? 4000 : 20) * MILLI), to, action));
		}
	}

	/**
	 * Grants tokens at the owner, replaced by a naive version in a test.
	 */
	interface Granter {

		GrantReply grant(GrantRequest request, long now);

	}

	private static final class Event {

		private long at;

		private final Vm to;

		private final Runnable action;

		private Event(long at, Vm to, Runnable action) {
			this.at = at;
			this.to = to;
			this.action = action;
		}

	}

	private final class Vm {

		private final int slot;

		private final long offset;

		private final TeamLimits limits;

		private final long[] lastStamp;

		private final long[] heartbeatReceivedAt;

		private long pausedUntil;

		private long heartbeatAt;

		private int assumedOwner;

		private TeamBucketOwner owned;

		private Granter granter;

		private long ownedUntil;

		private Vm(int slot, long offset, int count) {
			this.slot = slot;
			this.offset = offset;
			this.lastStamp = new long[count];
			this.heartbeatReceivedAt = new long[count];
			Arrays.fill(this.lastStamp, Long.MIN_VALUE);
			Arrays.fill(this.heartbeatReceivedAt, Long.MIN_VALUE / 2);
			this.limits = TeamLimits.create(count + 1, 1);
			this.limits.configure(Map.of(TEAM, FleetSimulation.this.limit));
			this.limits.slotAcquired(clock());
		}

		private long clock() {
			return FleetSimulation.this.now + this.offset;
		}

		private void step(double loadFactor) {
			FleetSimulation sim = FleetSimulation.this;
			if (this.owned != null && sim.now >= this.ownedUntil) {
				this.owned = null;
			}
			if (sim.now >= this.heartbeatAt) {
				this.heartbeatAt = sim.now + 1000 * MILLI;
				heartbeat();
			}
			double expected = loadFactor * sim.limit.tokensPerSecond() / 200 * STEP * 1e-9 / sim.vms.size();
			for (double remaining = expected; sim.random.nextDouble() < remaining; remaining--) {
				reserve(sim.random.nextLong(1, 400), 3);
			}
			if (sim.random.nextInt(100) == 0) {
				requestGrant(GrantRequest.of(TEAM, sim.random.nextLong(1, 800), 0), 0, CANCELLED);
			}
		}

		private void heartbeat() {
			FleetSimulation sim = FleetSimulation.this;
			if (sim.owner == this.slot && this.owned != null && sim.now >= sim.renewalsFailUntil) {
				this.ownedUntil = sim.now + 15_000 * MILLI;
				sim.leaseUntil = this.ownedUntil;
			}
			if (this.owned != null) {
				BitSet unheld = new BitSet();
				unheld.set(sim.vms.size());
				this.owned.unheld(unheld, clock(), clock());
			}
			for (Vm peer : sim.vms) {
				boolean promise = peer.slot == this.assumedOwner
						&& (peer == this || clock() - this.heartbeatReceivedAt[peer.slot] < 2000 * MILLI);
				if (promise) {
					this.limits.promiseSent(0, clock());
				}
				long stamp = clock();
				long echo = (peer == this) ? clock() : this.lastStamp[peer.slot];
				boolean owner = this.owned != null;
				sim.send(this, peer, () -> peer.heartbeatReceived(this, stamp, echo, promise, owner));
			}
		}

		private void heartbeatReceived(Vm from, long stamp, long echo, boolean promise, boolean owner) {
			this.lastStamp[from.slot] = Math.max(this.lastStamp[from.slot], stamp);
			this.heartbeatReceivedAt[from.slot] = clock();
			if (owner) {
				this.assumedOwner = from.slot;
			}
			if (promise && echo != Long.MIN_VALUE && this.owned != null) {
				this.owned.promised(from.slot, echo, clock());
			}
		}

		private void reserve(long cost, int attempts) {
			ReserveResult result = this.limits.reserve(TEAM, cost, clock());
			if (result instanceof ReserveResult.Reserved reserved) {
				use(reserved.reservation());
				return;
			}
			if (result instanceof ReserveResult.GrantNeeded needed && attempts > 0) {
				requestGrant(needed.request(), cost, attempts - 1);
			}
			if (this.limits.reserveAvailable(TEAM, 1, null, clock()) instanceof ReserveResult.Reserved floor) {
				FleetSimulation.this.floorUses += (floor.reservation().granted() == 0) ? 1 : 0;
				use(floor.reservation());
			}
		}

		private void requestGrant(GrantRequest request, long cost, int attempts) {
			Vm peer = FleetSimulation.this.vms.get(this.assumedOwner);
			long sentAt = clock();
			FleetSimulation.this.send(this, peer, () -> peer.grantRequested(this, request, sentAt, cost, attempts));
		}

		private void grantRequested(Vm vm, GrantRequest request, long sentAt, long cost, int attempts) {
			if (this.owned == null || FleetSimulation.this.now >= this.ownedUntil) {
				return;
			}
			GrantReply reply = this.granter.grant(request, clock());
			FleetSimulation.this.send(this, vm, () -> {
				vm.limits.grantReceived(TEAM, reply, sentAt, vm.clock());
				if (attempts != CANCELLED) {
					vm.reserve(cost, attempts);
				}
			});
		}

		private void use(Reservation reservation) {
			FleetSimulation sim = FleetSimulation.this;
			long used = sim.random.nextLong(reservation.tokens()) + 1;
			sim.checker.used(sim.now, used);
			sim.events.add(new Event(sim.now + sim.random.nextLong(15_000 * MILLI), this,
					() -> this.limits.settle(reservation, used)));
		}

	}

}
