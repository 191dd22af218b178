package org.banyanstile.core.membership;

import org.banyanstile.core.common.VmId;

/**
 * State of a VM that it sends to each other VM once a second, and more often while the
 * store does not respond.
 *
 * @param vm the sender
 * @param slot slot that the sender holds, or {@link #NO_SLOT}
 * @param epoch epoch of the slot
 * @param configVersion configuration version in force at the sender
 * @param storeAgeMillis time since the sender last reached the store
 * @param state state of the sender
 * @param floorsSuspended whether the sender leaves its floors (its guaranteed minimum
 * shares of team limits) unused for the partitions of the receiver
 * @param sequence number of this round of heartbeats at the sender
 * @param echo latest sequence that the sender received from the receiver, which bounds
 * the age of this heartbeat on the receiver's clock; 0 if there is none
 * @author banyanstile contributors
 */
public record Heartbeat(VmId vm, int slot, long epoch, long configVersion, long storeAgeMillis, VmState state,
		boolean floorsSuspended, long sequence, long echo) {

	/**
	 * Slot of a VM that holds none.
	 */
	public static final int NO_SLOT = -1;

}
