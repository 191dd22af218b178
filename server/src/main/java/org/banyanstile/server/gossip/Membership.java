package org.banyanstile.server.gossip;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGenerator;

import org.banyanstile.core.lease.RendezvousHash;
import org.banyanstile.core.limit.FleetPosition;
import org.jspecify.annotations.Nullable;

/**
 * Tracks the VMs of the fleet by their heartbeat counters. A VM is alive as long as its
 * counter advances, whether it is received from the VM itself or from another one. Safe
 * for use by several threads.
 *
 * @author banyanstile contributors
 */
public final class Membership {

	/**
	 * Time without an advancing counter after which a VM counts as dead: eight rounds of
	 * 250 ms, and less than the time for which a directory response may name a dead VM.
	 */
	static final long DEAD_NANOS = 2_000_000_000L;

	/**
	 * The same time in a fleet in which a VM does not hear every other one in each round,
	 * so that a heartbeat has to be passed on by others, some of whose messages are lost.
	 */
	static final long LARGE_FLEET_DEAD_NANOS = 3_000_000_000L;

	/**
	 * Time without an advancing counter after which a VM is forgotten and no longer holds
	 * a share of limits.
	 */
	static final long FORGET_NANOS = 20_000_000_000L;

	private final Map<String, Entry> entries = new HashMap<>();

	private GossipMember self;

	private Membership(GossipMember self) {
		this.self = self;
	}

	/**
	 * Creates the membership of a VM that knows only itself.
	 * @param self this VM
	 * @return the membership
	 */
	public static Membership of(GossipMember self) {
		return new Membership(self);
	}

	/**
	 * Increments the heartbeat counter of this VM.
	 * @param state its current state
	 * @return this VM
	 */
	public synchronized GossipMember advanceHeartbeat(MemberState state) {
		this.self = with(this.self.incarnation(), this.self.heartbeat() + 1, state.ordinal());
		return this.self;
	}

	private GossipMember with(long incarnation, long heartbeat, int state) {
		return new GossipMember(this.self.vm(), incarnation, heartbeat, this.self.dataCentre(),
				this.self.callerAddress(), this.self.peerAddress(), state);
	}

	/**
	 * Merges the VMs that another VM knows.
	 * @param members the VMs
	 * @param now the current time in nanoseconds
	 */
	public synchronized void merge(Collection<GossipMember> members, long now) {
		for (GossipMember member : members) {
			if (member.vm().equals(this.self.vm())) {
				raiseIncarnation(member);
				continue;
			}
			Entry known = this.entries.get(member.vm());
			if (known == null || isNewer(member, known.member())) {
				this.entries.put(member.vm(), new Entry(member, now));
			}
		}
		this.entries.values().removeIf((entry) -> now - entry.advancedAt() > FORGET_NANOS);
	}

	// Takes a higher incarnation than that of an earlier run of this VM. Incarnations are
	// start times, and the clock may have jumped back between the two runs.
	private void raiseIncarnation(GossipMember earlier) {
		if (earlier.incarnation() > this.self.incarnation()) {
			this.self = with(earlier.incarnation() + 1, this.self.heartbeat(), this.self.state());
		}
	}

	private static boolean isNewer(GossipMember member, GossipMember known) {
		if (member.incarnation() != known.incarnation()) {
			return member.incarnation() > known.incarnation();
		}
		return member.heartbeat() > known.heartbeat();
	}

	/**
	 * Returns this VM.
	 * @return this VM
	 */
	public synchronized GossipMember self() {
		return this.self;
	}

	private long deadNanos() {
		return (this.entries.size() > PeerRotation.MAX_PER_ROUND) ? LARGE_FLEET_DEAD_NANOS : DEAD_NANOS;
	}

	/**
	 * Returns the other VMs that are alive.
	 * @param now the current time in nanoseconds
	 * @return the VMs, ordered by name
	 */
	public synchronized List<GossipMember> alivePeers(long now) {
		List<GossipMember> alive = new ArrayList<>();
		for (Entry entry : this.entries.values()) {
			if (now - entry.advancedAt() <= deadNanos()) {
				alive.add(entry.member());
			}
		}
		alive.sort(Comparator.comparing(GossipMember::vm));
		return alive;
	}

	/**
	 * Selects one of the other VMs that are not forgotten.
	 * @param sameDataCentre whether it should be in the data centre of this VM; otherwise
	 * it should be in another one
	 * @param random source of random numbers
	 * @return its address for other VMs, of any data centre if there is none in the
	 * wanted ones, or {@code null} if no other VM is known
	 */
	public synchronized @Nullable String randomPeer(boolean sameDataCentre, RandomGenerator random) {
		List<String> wanted = new ArrayList<>();
		List<String> all = new ArrayList<>();
		for (Entry entry : this.entries.values()) {
			GossipMember member = entry.member();
			all.add(member.peerAddress());
			if (member.dataCentre().equals(this.self.dataCentre()) == sameDataCentre) {
				wanted.add(member.peerAddress());
			}
		}
		List<String> candidates = wanted.isEmpty() ? all : wanted;
		return candidates.isEmpty() ? null : candidates.get(random.nextInt(candidates.size()));
	}

	/**
	 * Returns all other VMs that are not forgotten.
	 * @return the VMs
	 */
	public synchronized List<GossipMember> knownPeers() {
		return this.entries.values().stream().map(Entry::member).toList();
	}

	/**
	 * Returns the number of VMs among which limits are shared, this one included.
	 * @return the number
	 */
	public synchronized int size() {
		return this.entries.size() + 1;
	}

	/**
	 * Returns the number of live VMs whose names sort before this VM's name, without
	 * those that are shutting down. The VM of rank 0 does the work that a single VM has
	 * to do for the fleet.
	 * @param now the current time in nanoseconds
	 * @return the rank
	 */
	public synchronized int rank(long now) {
		int rank = 0;
		for (Entry entry : this.entries.values()) {
			GossipMember member = entry.member();
			boolean alive = now - entry.advancedAt() <= deadNanos() && member.state() != MemberState.LEAVING.ordinal();
			rank += (alive && member.vm().compareTo(this.self.vm()) < 0) ? 1 : 0;
		}
		return rank;
	}

	/**
	 * Returns the position of this VM among the live VMs, without others that are
	 * shutting down, in an order that depends on a key.
	 * @param key the key
	 * @param now the current time in nanoseconds
	 * @return the position
	 */
	public synchronized FleetPosition.Position position(String key, long now) {
		long own = RendezvousHash.score(key, this.self.vm());
		int rank = 0;
		int vms = 1;
		for (Entry entry : this.entries.values()) {
			if (now - entry.advancedAt() > deadNanos() || entry.member().state() == MemberState.LEAVING.ordinal()) {
				continue;
			}
			vms++;
			rank += (Long.compareUnsigned(RendezvousHash.score(key, entry.member().vm()), own) > 0) ? 1 : 0;
		}
		return new FleetPosition.Position(rank, vms);
	}

	/**
	 * Returns the VM that does the work of a key for the fleet, by rendezvous hashing
	 * over the live VMs without those that are shutting down.
	 * @param key the key
	 * @param avoided names of VMs that do not respond to this VM
	 * @param now the current time in nanoseconds
	 * @return the VM, this one if no other is left
	 */
	public synchronized GossipMember preferred(String key, Set<String> avoided, long now) {
		boolean leaving = this.self.state() == MemberState.LEAVING.ordinal();
		GossipMember best = this.self;
		long bestScore = leaving ? 0 : RendezvousHash.score(key, this.self.vm());
		for (Entry entry : this.entries.values()) {
			GossipMember member = entry.member();
			if (now - entry.advancedAt() > deadNanos() || member.state() != MemberState.SERVING.ordinal()
					|| avoided.contains(member.vm())) {
				continue;
			}
			long score = RendezvousHash.score(key, member.vm());
			if (Long.compareUnsigned(score, bestScore) > 0) {
				best = member;
				bestScore = score;
			}
		}
		return best;
	}

	/**
	 * A VM and the time at which its counter last advanced.
	 *
	 * @param member the VM
	 * @param advancedAt time in nanoseconds
	 * @author banyanstile contributors
	 */
	private record Entry(GossipMember member, long advancedAt) {

	}

}
