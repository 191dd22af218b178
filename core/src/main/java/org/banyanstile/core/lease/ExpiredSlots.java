package org.banyanstile.core.lease;

import java.util.List;

import org.banyanstile.core.common.VmId;
import org.banyanstile.core.membership.VmState;
import org.banyanstile.core.store.Condition;
import org.banyanstile.core.store.Row;
import org.banyanstile.core.store.Transaction;
import org.banyanstile.core.store.TransactionResult;
import org.banyanstile.core.store.Write;
import org.jspecify.annotations.Nullable;

/**
 * Releases the VM slots of VMs that failed. As long as there are more slots than VMs, no
 * other VM has to take such a slot, and without the release no VM would learn that its
 * epoch has ended.
 *
 * @author banyanstile contributors
 */
final class ExpiredSlots {

	private final VmId self;

	private final OperationIds ids;

	ExpiredSlots(VmId self, OperationIds ids) {
		this.self = self;
		this.ids = ids;
	}

	/**
	 * Returns the next write. One VM is chosen for each slot, since the writes of all
	 * others would conflict.
	 * @param now the current time
	 * @param held slot that this VM currently holds, or {@code null}
	 * @param slots the slot rows as observed
	 * @param permitted whether ownership may change
	 * @return the write, or {@code null} if there is nothing to do
	 */
	@Nullable
	StoreStep next(long now, @Nullable SlotRecord held, SlotTable slots, boolean permitted) {
		if (held == null || !permitted) {
			return null;
		}
		List<SlotRecord> live = slots.live(now);
		for (ObservedSlot slot : slots.all()) {
			SlotRecord row = slot.record();
			String key = SlotRecord.key(row.slot());
			if (row.isHeld() && row.slot() != held.slot() && slot.isExpired(now)
					&& this.self.equals(RendezvousHash.preferred(key, live))) {
				String id = this.ids.next();
				String value = row.next(VmState.RELEASED, id).encode(slots.codec());
				return new StoreStep.Transact(Transaction.put(id, new Condition(key, slot.version()), value), now);
			}
		}
		return null;
	}

	/**
	 * Applies the result. After an unknown outcome the next scan shows the row.
	 * @param step the write
	 * @param reply its result
	 * @param slots the slot rows as observed, updated by this call
	 * @param now time at which the reply was received
	 */
	void written(StoreStep.Transact step, StoreReply reply, SlotTable slots, long now) {
		if (!(reply instanceof StoreReply.Decided decided)) {
			return;
		}
		if (decided.result() instanceof TransactionResult.Conflict conflict) {
			conflict.current().forEach((row) -> slots.observe(row, now));
		}
		else if (decided.result() instanceof TransactionResult.Committed committed) {
			for (Write write : step.transaction().writes()) {
				Long version = committed.versions().get(write.key());
				if (version != null && write.value() != null) {
					slots.observe(new Row(write.key(), version, write.value()), now);
				}
			}
		}
	}

}
