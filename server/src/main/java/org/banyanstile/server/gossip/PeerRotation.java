package org.banyanstile.server.gossip;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.TreeSet;

import org.jspecify.annotations.Nullable;

/**
 * Chooses the VMs that hear this VM in a round, in turn, so that each hears it at an even
 * pace: in every round in a small fleet, in each second one up to 64 VMs. A random choice
 * leaves some VMs without word for several times the mean. Not safe for use by several
 * threads.
 *
 * @author banyanstile contributors
 */
final class PeerRotation {

	/**
	 * VMs in a round at least, of a fleet that has so many.
	 */
	static final int LEAST = 8;

	/**
	 * VMs in a round at most. With four rounds a second and some 600 bytes each, a VM
	 * sends about 77 KB a second.
	 */
	static final int MOST = 32;

	private @Nullable String last;

	/**
	 * Returns the VMs of the next round.
	 * @param addresses addresses of all other VMs
	 * @return the addresses that are due
	 */
	List<String> next(Collection<String> addresses) {
		TreeSet<String> ordered = new TreeSet<>(addresses);
		int size = Math.min(ordered.size(), Math.min(MOST, Math.max(LEAST, (ordered.size() + 1) / 2)));
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
