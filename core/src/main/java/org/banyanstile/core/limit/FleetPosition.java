package org.banyanstile.core.limit;

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
	 * Position in an order of VMs.
	 *
	 * @param rank number of VMs before this one
	 * @param vms number of VMs, this one included
	 * @author banyanstile contributors
	 */
	record Position(int rank, int vms) {

	}

}
