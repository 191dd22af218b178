package org.banyanstile.core.lease;

import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

import org.banyanstile.core.common.VmId;
import org.banyanstile.core.membership.VmState;
import org.banyanstile.core.store.Row;
import org.banyanstile.core.store.RowCodec;
import org.jspecify.annotations.Nullable;

/**
 * Rows of the VM slots as this VM has observed them. Not safe for use by several threads.
 *
 * @author banyanstile contributors
 */
public final class SlotTable {

	/**
	 * Time for which a VM must observe a row unchanged before it takes the slot: the
	 * lease of 15 s and a margin of 1 s for different clock rates.
	 */
	public static final long TAKEOVER_NANOS = SlotLease.LEASE_NANOS + 1_000_000_000L;

	private final RowCodec codec;

	private final Map<Integer, ObservedSlot> slots = new TreeMap<>();

	private SlotTable(RowCodec codec) {
		this.codec = codec;
	}

	/**
	 * Creates an empty table.
	 * @param codec codec of the rows
	 * @return the table
	 */
	public static SlotTable create(RowCodec codec) {
		return new SlotTable(codec);
	}

	/**
	 * Records a full scan.
	 * @param rows all slot rows
	 * @param now time at which the reply was received
	 */
	public void observeAll(List<Row> rows, long now) {
		Set<Integer> seen = new HashSet<>();
		for (Row row : rows) {
			seen.add(observe(row, now).slot());
		}
		this.slots.keySet().retainAll(seen);
	}

	/**
	 * Records one row. A version below the known one is stale and ignored.
	 * @param row the row
	 * @param now time at which the reply was received
	 * @return content of the row
	 */
	public SlotRecord observe(Row row, long now) {
		SlotRecord decoded = SlotRecord.decode(row, this.codec);
		ObservedSlot known = this.slots.get(decoded.slot());
		if (known == null || known.version() < row.version()) {
			this.slots.put(decoded.slot(), new ObservedSlot(decoded, row.version(), now));
		}
		return decoded;
	}

	/**
	 * Returns a slot.
	 * @param slot number of the slot
	 * @return the slot, or {@code null} if it has no row
	 */
	public @Nullable ObservedSlot get(int slot) {
		return this.slots.get(slot);
	}

	/**
	 * Returns all slots that have a row.
	 * @return the slots in order of their number
	 */
	public Collection<ObservedSlot> all() {
		return List.copyOf(this.slots.values());
	}

	/**
	 * Returns the VMs named in rows that are not released.
	 * @return the VMs
	 */
	public Set<VmId> named() {
		Set<VmId> vms = new HashSet<>();
		this.slots.values()
			.stream()
			.filter((slot) -> slot.record().isHeld())
			.forEach((slot) -> vms.add(slot.record().vm()));
		return vms;
	}

	/**
	 * Returns the slots whose VMs may own partitions.
	 * @param now the current time
	 * @return slots of VMs that are live, not leaving and not expired
	 */
	public List<SlotRecord> live(long now) {
		return this.slots.values()
			.stream()
			.filter((slot) -> slot.record().state() == VmState.LIVE && !slot.isExpired(now))
			.map(ObservedSlot::record)
			.toList();
	}

	RowCodec codec() {
		return this.codec;
	}

}
