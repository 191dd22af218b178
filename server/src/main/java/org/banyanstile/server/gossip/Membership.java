package org.banyanstile.server.gossip;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * VMs of the fleet by their heartbeats. A VM is alive as long as its counter advances, at
 * whatever VM it was heard. Safe for use by several threads.
 *
 * @author banyanstile contributors
 */
public final class Membership {

	/**
	 * Time without an advancing counter after which a VM counts as dead: eight rounds of
	 * 250 ms, and below the time that a directory answer may name a dead VM.
	 */
	static final long DEAD_NANOS = 2_000_000_000L;

	/**
	 * Time after which a dead VM is forgotten and no longer holds a share of limits.
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
	 * Raises the counter of this VM.
	 * @param state its present state
	 * @return this VM
	 */
	public synchronized GossipMember beat(MemberState state) {
		this.self = with(this.self.incarnation(), this.self.beat() + 1, state.ordinal());
		return this.self;
	}

	private GossipMember with(long incarnation, long beat, int state) {
		return new GossipMember(this.self.vm(), incarnation, beat, this.self.dataCentre(), this.self.callerAddress(),
				this.self.peerAddress(), state);
	}

	/**
	 * Learns what another VM knows.
	 * @param members the VMs that it knows
	 * @param now the current time in nanoseconds
	 */
	public synchronized void merge(Collection<GossipMember> members, long now) {
		for (GossipMember member : members) {
			if (member.vm().equals(this.self.vm())) {
				outlive(member);
				continue;
			}
			Entry known = this.entries.get(member.vm());
			if (known == null || isNewer(member, known.member())) {
				this.entries.put(member.vm(), new Entry(member, now));
			}
		}
		this.entries.values().removeIf((entry) -> now - entry.advanced() > FORGET_NANOS);
	}

	// Takes a higher incarnation than that of an earlier life. The time of day, from
	// which incarnations are drawn, may have jumped back between the two.
	private void outlive(GossipMember earlier) {
		if (earlier.incarnation() > this.self.incarnation()) {
			this.self = with(earlier.incarnation() + 1, this.self.beat(), this.self.state());
		}
	}

	private static boolean isNewer(GossipMember member, GossipMember known) {
		if (member.incarnation() != known.incarnation()) {
			return member.incarnation() > known.incarnation();
		}
		return member.beat() > known.beat();
	}

	/**
	 * Returns this VM.
	 * @return this VM
	 */
	public synchronized GossipMember self() {
		return this.self;
	}

	/**
	 * Returns the other VMs that are alive.
	 * @param now the current time in nanoseconds
	 * @return the VMs, ordered by name
	 */
	public synchronized List<GossipMember> alivePeers(long now) {
		List<GossipMember> alive = new ArrayList<>();
		for (Entry entry : this.entries.values()) {
			if (now - entry.advanced() <= DEAD_NANOS) {
				alive.add(entry.member());
			}
		}
		alive.sort(Comparator.comparing(GossipMember::vm));
		return alive;
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
	 * Returns how many living VMs stand before this one in the fleet. The first one does
	 * what one VM is enough for.
	 * @param now the current time in nanoseconds
	 * @return the number, 0 for the first VM
	 */
	public synchronized int rank(long now) {
		int before = 0;
		for (Entry entry : this.entries.values()) {
			GossipMember member = entry.member();
			boolean alive = now - entry.advanced() <= DEAD_NANOS && member.state() != MemberState.LEAVING.ordinal();
			before += (alive && member.vm().compareTo(this.self.vm()) < 0) ? 1 : 0;
		}
		return before;
	}

	/**
	 * A VM and when its counter last advanced.
	 *
	 * @param member the VM
	 * @param advanced time in nanoseconds
	 * @author banyanstile contributors
	 */
	private record Entry(GossipMember member, long advanced) {

	}

}
