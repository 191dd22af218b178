package org.banyanstile.core.limit;

import java.util.Collection;

import org.banyanstile.core.lease.RendezvousHash;

/**
 * Position of this VM among the live VMs, in an order that differs from key to key and is
 * the same on all VMs that know the same live VMs.
 *
 * @author banyanstile contributors
 */
@FunctionalInterface
public interface FleetPosition {

	/**
	 * Returns the position of this VM.
	 * @param key key that determines the order
	 * @return the position, from 0, and the number of VMs
	 */
	Position of(String key);

	/**
	 * Returns the position of a VM among others by rendezvous hashing.
	 * @param key key that determines the order
	 * @param vm the VM
	 * @param others names of the other VMs
	 * @return the position
	 */
	static Position among(String key, String vm, Collection<String> others) {
		long own = RendezvousHash.score(key, vm);
		int rank = 0;
		for (String other : others) {
			rank += (Long.compareUnsigned(RendezvousHash.score(key, other), own) > 0) ? 1 : 0;
		}
		return new Position(rank, others.size() + 1);
	}

	/**
	 * Position in an order of VMs.
	 *
	 * @param rank number of VMs before this one
	 * @param vms number of VMs, this one included
	 * @author banyanstile contributors
	 */
	record Position(int rank, int vms) {

	}

}
