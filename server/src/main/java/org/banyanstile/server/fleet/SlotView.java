package org.banyanstile.server.fleet;

import java.util.BitSet;
import java.util.Collection;

import org.banyanstile.core.common.VmId;
import org.jspecify.annotations.Nullable;

/**
 * What this VM knows about VM slots. Safe for use by several threads.
 *
 * @author banyanstile contributors
 */
public interface SlotView {

	/**
	 * Slot number of a VM that holds none.
	 */
	int NO_SLOT = -1;

	/**
	 * Returns the slot that this VM holds.
	 * @return the slot, or {@link #NO_SLOT}
	 */
	int slot();

	/**
	 * Returns the epoch of the slot that this VM holds.
	 * @return the epoch, 0 without a slot
	 */
	long epoch();

	/**
	 * Returns the slots that nobody held in the latest scan of the slot rows.
	 * @return the slots and the time of the scan, or {@code null} before the first scan
	 */
	@Nullable
	Unheld unheld();

	/**
	 * Returns the VMs that hold a slot.
	 * @return the VMs
	 */
	Collection<VmId> holders();

	/**
	 * Slots without a holder.
	 *
	 * @param slots the slots
	 * @param scanStartedAt time before the scan was sent
	 * @author banyanstile contributors
	 */
	record Unheld(BitSet slots, long scanStartedAt) {

	}

}
