package org.banyanstile.server.gossip;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

import org.banyanstile.core.lease.RendezvousHash;
import org.jspecify.annotations.Nullable;

/**
 * Selects the VMs to send to in a gossip round, in turn, so that each VM receives the
 * state of this one at even intervals: in every round in a small fleet, every two seconds
 * in a fleet of 64 VMs. With a random selection some VMs would receive nothing for
 * several times the mean interval. Each VM has an order of its own; with a common one,
 * VMs that started together would all send to the same few others. Not safe for use by
 * several threads.
 *
 * @author banyanstile contributors
 */
final class PeerRotation {

	/**
	 * Largest number of VMs in a round. With four rounds a second a VM sends and receives
	 * 32 datagrams a second, whatever the size of the fleet.
	 */
	static final int MAX_PER_ROUND = 8;

	private final String self;

	/**
	 * Places of the addresses in the order of this VM.
	 */
	private final Map<String, Long> places = new HashMap<>();

	private @Nullable String lastAddress;

	private PeerRotation(String self) {
		this.self = self;
	}

	/**
	 * Creates the rotation of a VM.
	 * @param self address of the VM
	 * @return the rotation
	 */
	static PeerRotation of(String self) {
		return new PeerRotation(self);
	}

	/**
	 * Selects the VMs of the next round.
	 * @param addresses addresses of all other VMs
	 * @return the selected addresses
	 */
	List<String> next(Collection<String> addresses) {
		TreeSet<String> ordered = inOwnOrder(addresses);
		int size = Math.min(ordered.size(), MAX_PER_ROUND);
		List<String> candidates = new ArrayList<>(
				(this.lastAddress != null) ? ordered.tailSet(this.lastAddress, false) : ordered);
		if (candidates.size() < size) {
			ordered.removeAll(candidates);
			candidates.addAll(ordered);
		}
		List<String> chosen = new ArrayList<>(candidates.subList(0, size));
		this.lastAddress = chosen.isEmpty() ? null : chosen.get(size - 1);
		return chosen;
	}

	private TreeSet<String> inOwnOrder(Collection<String> addresses) {
		if (this.places.size() > 2 * addresses.size() + MAX_PER_ROUND) {
			this.places.keySet().retainAll(addresses);
		}
		TreeSet<String> ordered = new TreeSet<>(
				Comparator.comparingLong(this::place).thenComparing(Comparator.naturalOrder()));
		ordered.addAll(addresses);
		return ordered;
	}

	private long place(String address) {
		return this.places.computeIfAbsent(address, (other) -> RendezvousHash.score(this.self, other));
	}

}
