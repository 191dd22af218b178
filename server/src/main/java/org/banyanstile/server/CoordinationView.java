package org.banyanstile.server;

import java.util.BitSet;
import java.util.Collection;
import java.util.OptionalLong;

import org.banyanstile.core.common.VmId;
import org.banyanstile.core.lease.SlotRecord;
import org.banyanstile.server.fleet.Ownership;
import org.banyanstile.server.fleet.SlotView;
import org.banyanstile.server.platform.Coordination;
import org.jspecify.annotations.Nullable;

/**
 * Partition ownership and slots according to the coordination state of this VM.
 *
 * @author banyanstile contributors
 */
final class CoordinationView implements Ownership, SlotView {

	private final VmId self;

	private final Coordination coordination;

	private final int slotCount;

	CoordinationView(VmId self, Coordination coordination, int slotCount) {
		this.self = self;
		this.coordination = coordination;
		this.slotCount = slotCount;
	}

	@Override
	public VmId self() {
		return this.self;
	}

	@Override
	public @Nullable VmId ownerOf(String partition) {
		if (this.coordination.owns(partition)) {
			return this.self;
		}
		VmId owner = this.coordination.ownerOf(partition).map(SlotRecord::vm).orElse(null);
		// If the row names this VM, the ownership was lost or may not be used now.
		return this.self.equals(owner) ? null : owner;
	}

	@Override
	public long tokenOf(String partition) {
		return this.coordination.fencingToken(partition);
	}

	@Override
	public int registeredVms() {
		return Math.max(1, this.coordination.registered().size());
	}

	@Override
	public int slot() {
		return this.coordination.slot().map(SlotRecord::slot).orElse(NO_SLOT);
	}

	@Override
	public long epoch() {
		return this.coordination.slot().map(SlotRecord::epoch).orElse(0L);
	}

	@Override
	public @Nullable Unheld unheld() {
		// The time is read before the rows, so that a concurrent scan can only make
		// it older than they are.
		OptionalLong readAt = this.coordination.slotsReadAt();
		if (readAt.isEmpty()) {
			return null;
		}
		BitSet slots = new BitSet(this.slotCount);
		this.coordination.freeSlots(this.slotCount).forEach(slots::set);
		return new Unheld(slots, readAt.getAsLong());
	}

	@Override
	public Collection<VmId> holders() {
		return this.coordination.members().stream().map(SlotRecord::vm).toList();
	}

}
