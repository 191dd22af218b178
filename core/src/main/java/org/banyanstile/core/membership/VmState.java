package org.banyanstile.core.membership;

/**
 * State of a VM in its slot row and its heartbeats.
 *
 * @author banyanstile contributors
 */
public enum VmState {

	/**
	 * The VM accepts new work.
	 */
	LIVE,

	/**
	 * The VM is shutting down and acquires no partitions.
	 */
	LEAVING,

	/**
	 * The slot was released. Its row is retained because its epoch must never be used
	 * again.
	 */
	RELEASED

}
