package org.banyanstile.core.lease;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

import org.banyanstile.core.store.Condition;
import org.banyanstile.core.store.Row;
import org.banyanstile.core.store.Transaction;
import org.banyanstile.core.store.TransactionResult;
import org.banyanstile.core.store.Write;
import org.jspecify.annotations.Nullable;

/**
 * Partition rows as this VM has observed them, and the decisions to acquire and release
 * partitions. Not safe for use by several threads.
 *
 * @author banyanstile contributors
 */
public final class PartitionTable {

	private final OperationIds ids;

	private final Map<String, Observed> partitions = new TreeMap<>();

	/**
	 * Fencing tokens of partitions that this VM has released. A release with an unknown
	 * outcome may still take effect, so a row with such a token is not owned again.
	 */
	private final Map<String, Long> relinquished = new TreeMap<>();

	private final Set<String> names = new TreeSet<>();

	private @Nullable String unresolved;

	private PartitionTable(OperationIds ids) {
		this.ids = ids;
	}

	/**
	 * Creates an empty table.
	 * @param ids identifiers of writes
	 * @return the table
	 */
	public static PartitionTable create(OperationIds ids) {
		return new PartitionTable(ids);
	}

	/**
	 * Replaces the partitions that must have an owner.
	 * @param names names of the partitions
	 */
	public void setNames(Collection<String> names) {
		this.names.clear();
		this.names.addAll(names);
	}

	/**
	 * Records a full scan.
	 * @param rows all partition rows
	 * @param slots table whose codec applies
	 */
	public void observeAll(List<Row> rows, SlotTable slots) {
		Set<String> seen = new HashSet<>();
		for (Row row : rows) {
			observe(row, slots);
			seen.add(row.key().substring(PartitionRecord.PREFIX.length()));
		}
		this.partitions.keySet().retainAll(seen);
	}

	private void observe(Row row, SlotTable slots) {
		PartitionRecord decoded = PartitionRecord.decode(row, slots.codec());
		Observed known = this.partitions.get(decoded.name());
		if (known == null || known.version() < row.version()) {
			this.partitions.put(decoded.name(), new Observed(decoded, row.version()));
		}
	}

	/**
	 * Returns the owner as last observed, which may have changed since.
	 * @param name name of the partition
	 * @param slots the slot rows as observed
	 * @return slot of the owner, or {@code null} if there is none
	 */
	public @Nullable SlotRecord ownerOf(String name, SlotTable slots) {
		Observed observed = this.partitions.get(name);
		ObservedSlot slot = (observed != null) ? slots.get(observed.record().slot()) : null;
		if (observed == null || slot == null || !slot.record().isHeld()
				|| !observed.record().isOwnedBy(slot.record())) {
			return null;
		}
		return slot.record();
	}

	/**
	 * Returns this VM's fencing token for a partition.
	 * @param name name of the partition
	 * @param held slot that this VM currently holds, or {@code null}
	 * @return the token, or 0 if this VM is not the owner
	 */
	public long tokenOf(String name, @Nullable SlotRecord held) {
		Observed observed = this.partitions.get(name);
		return (held != null && observed != null && isOwn(observed.record(), held)) ? observed.record().fencingToken()
				: 0;
	}

	/**
	 * Returns the partitions that this VM owns.
	 * @param held slot that this VM currently holds, or {@code null}
	 * @return fencing token of each partition
	 */
	public Map<String, Long> owned(@Nullable SlotRecord held) {
		Map<String, Long> owned = new TreeMap<>();
		for (Observed observed : this.partitions.values()) {
			if (held != null && isOwn(observed.record(), held)) {
				owned.put(observed.record().name(), observed.record().fencingToken());
			}
		}
		return owned;
	}

	private boolean isOwn(PartitionRecord row, SlotRecord held) {
		return row.isOwnedBy(held) && row.fencingToken() > this.relinquished.getOrDefault(row.name(), 0L);
	}

	/**
	 * Returns the next store call.
	 * @param now the current time
	 * @param held slot that this VM currently holds, or {@code null}
	 * @param slots the slot rows as observed
	 * @param permitted whether ownership may change
	 * @return the call, or {@code null} if there is nothing to do
	 */
	public @Nullable StoreStep next(long now, @Nullable SlotRecord held, SlotTable slots, boolean permitted) {
		if (this.unresolved != null) {
			return new StoreStep.Read(List.of(PartitionRecord.key(this.unresolved)), now);
		}
		if (held == null || !permitted) {
			return null;
		}
		List<SlotRecord> live = slots.live(now);
		for (Observed observed : this.partitions.values()) {
			PartitionRecord row = observed.record();
			if (row.isOwnedBy(held) && !shouldOwn(row.name(), live, held)) {
				return release(observed, slots, now);
			}
		}
		for (String name : this.names) {
			if (shouldOwn(name, live, held)) {
				StoreStep step = acquire(name, held, slots, now);
				if (step != null) {
					return step;
				}
			}
		}
		return null;
	}

	private boolean shouldOwn(String name, List<SlotRecord> live, SlotRecord held) {
		return this.names.contains(name) && held.vm().equals(RendezvousHash.preferred(name, live));
	}

	private StoreStep release(Observed observed, SlotTable slots, long now) {
		PartitionRecord row = observed.record();
		this.relinquished.merge(row.name(), row.fencingToken(), Math::max);
		PartitionRecord released = new PartitionRecord(row.name(), PartitionRecord.NO_SLOT, 0, row.fencingToken());
		return write(released, List.of(new Condition(PartitionRecord.key(row.name()), observed.version())), slots, now);
	}

	private @Nullable StoreStep acquire(String name, SlotRecord held, SlotTable slots, long now) {
		Observed observed = this.partitions.get(name);
		String key = PartitionRecord.key(name);
		if (observed == null) {
			return write(new PartitionRecord(name, held.slot(), held.epoch(), 1), List.of(Condition.absent(key)), slots,
					now);
		}
		PartitionRecord row = observed.record();
		if (isOwn(row, held)) {
			return null;
		}
		Condition unchanged = new Condition(key, observed.version());
		PartitionRecord acquired = new PartitionRecord(name, held.slot(), held.epoch(), row.fencingToken() + 1);
		List<Condition> conditions = new ArrayList<>(List.of(unchanged));
		if (row.slot() != PartitionRecord.NO_SLOT && !row.isOwnedBy(held)) {
			ObservedSlot owner = slots.get(row.slot());
			if (owner == null) {
				conditions.add(Condition.absent(SlotRecord.key(row.slot())));
			}
			else if (!hasEnded(row, owner.record())) {
				if (!owner.isExpired(now)) {
					return null;
				}
				conditions.add(new Condition(SlotRecord.key(row.slot()), owner.version()));
			}
		}
		return write(acquired, conditions, slots, now);
	}

	/**
	 * Returns whether the epoch in a partition row has ended permanently. A slot row with
	 * a lower epoch was read before the owner acquired the slot and is no evidence.
	 * @param row the partition row
	 * @param owner the slot row as observed
	 * @return whether the epoch has ended
	 */
	private static boolean hasEnded(PartitionRecord row, SlotRecord owner) {
		return owner.epoch() > row.epoch() || (owner.epoch() == row.epoch() && !owner.isHeld());
	}

	private StoreStep write(PartitionRecord row, List<Condition> conditions, SlotTable slots, long now) {
		String id = this.ids.next();
		Write write = new Write(PartitionRecord.key(row.name()), row.encode(slots.codec(), id));
		return new StoreStep.Transact(new Transaction(id, conditions, List.of(write)), now);
	}

	/**
	 * Applies the result of a transaction that {@link #next} asked for.
	 * @param step the transaction
	 * @param reply its result
	 * @param slots the slot rows as observed, updated by this call
	 * @param now time at which the reply was received
	 */
	public void written(StoreStep.Transact step, StoreReply reply, SlotTable slots, long now) {
		Write write = step.transaction().writes().get(0);
		if (reply instanceof StoreReply.Unknown) {
			this.unresolved = write.key().substring(PartitionRecord.PREFIX.length());
		}
		else if (reply instanceof StoreReply.Decided decided) {
			if (decided.result() instanceof TransactionResult.Committed committed) {
				Long version = committed.versions().get(write.key());
				if (version != null && write.value() != null) {
					observe(new Row(write.key(), version, write.value()), slots);
				}
			}
			else if (decided.result() instanceof TransactionResult.Conflict conflict) {
				conflict(conflict.current(), slots, now);
			}
		}
	}

	private void conflict(List<Row> current, SlotTable slots, long now) {
		for (Row row : current) {
			if (row.key().startsWith(PartitionRecord.PREFIX)) {
				observe(row, slots);
			}
			else {
				slots.observe(row, now);
			}
		}
	}

	/**
	 * Applies the read that resolves an unknown outcome. If the write takes effect later,
	 * the next scan shows it.
	 * @param rows the rows read
	 * @param slots table whose codec applies
	 */
	public void readBack(List<Row> rows, SlotTable slots) {
		this.unresolved = null;
		rows.forEach((row) -> observe(row, slots));
	}

	/**
	 * A partition row.
	 *
	 * @param record content of the row
	 * @param version version of the row
	 * @author banyanstile contributors
	 */
	private record Observed(PartitionRecord record, long version) {

	}

}
