package org.banyanstile.server.gossip;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.TreeSet;

import org.jspecify.annotations.Nullable;

/**
 * Chooses the VMs that hear this VM in a round, in turn, so that each hears it at an even
 * pace: in every round in a small fleet, each two seconds in one of 64 VMs. A random
 * choice leaves some VMs without word for several times the mean. Not safe for use by
 * several threads.
 *
 * @author banyanstile contributors
 */
final class PeerRotation {

	/**
	 * VMs in a round. With four rounds a second a VM sends and receives 32 datagrams a
	 * second, whatever the size of the fleet.
	 */
	static final int PER_ROUND = 8;

	private @Nullable String last;

	/**
	 * Returns the VMs of the next round.
	 * @param addresses addresses of all other VMs
	 * @return the addresses that are due
	 */
	List<String> next(Collection<String> addresses) {
		TreeSet<String> ordered = new TreeSet<>(addresses);
		int size = Math.min(ordered.size(), PER_ROUND);
		List<String> due = new ArrayList<>((this.last != null) ? ordered.tailSet(this.last, false) : ordered);
		if (due.size() < size) {
			ordered.removeAll(due);
			due.addAll(ordered);
		}
		List<String> chosen = new ArrayList<>(due.subList(0, size));
		this.last = chosen.isEmpty() ? null : chosen.get(size - 1);
		return chosen;
	}

}
