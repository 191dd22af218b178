package org.banyanstile.core.claim;

import org.banyanstile.core.common.VmId;
import org.banyanstile.core.lease.SlotRecord;

/**
 * VM that holds a claim until the epoch of its slot ends.
 *
 * @param vm the VM
 * @param slot slot of the VM
 * @param epoch epoch of the slot
 * @author banyanstile contributors
 */
public record ClaimHolder(VmId vm, int slot, long epoch) {

	/**
	 * Returns the holder for a slot.
	 * @param slot a slot that this VM holds
	 * @return the holder
	 */
	public static ClaimHolder of(SlotRecord slot) {
		return new ClaimHolder(slot.vm(), slot.slot(), slot.epoch());
	}

}
