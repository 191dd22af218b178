package org.banyanstile.core.lease;

import java.util.LinkedHashMap;
import java.util.Map;

import org.banyanstile.core.store.Fields;
import org.banyanstile.core.store.Row;
import org.banyanstile.core.store.RowCodec;

/**
 * Content of the row {@code partition/<name>}: the owner is the VM that holds the slot
 * with that epoch.
 *
 * @param name name of the partition
 * @param slot slot of the owner, or {@link #NO_SLOT} after a release
 * @param epoch epoch of that slot
 * @param fencingToken increases with each change of owner
 * @author banyanstile contributors
 */
public record PartitionRecord(String name, int slot, long epoch, long fencingToken) {

	/**
	 * Prefix of the row keys.
	 */
	public static final String PREFIX = "partition/";

	/**
	 * Slot of a partition that was released.
	 */
	public static final int NO_SLOT = -1;

	/**
	 * Returns the row key of a partition.
	 * @param name name of the partition
	 * @return the key
	 */
	public static String key(String name) {
		return PREFIX + name;
	}

	/**
	 * Decodes a row.
	 * @param row the row
	 * @param codec the codec
	 * @return the record
	 * @throws IllegalArgumentException if the row is malformed
	 */
	public static PartitionRecord decode(Row row, RowCodec codec) {
		Fields fields = Fields.of(row, codec);
		return new PartitionRecord(row.key().substring(PREFIX.length()), (int) fields.number("slot"),
				fields.number("vmEpoch"), fields.number("fencingToken"));
	}

	/**
	 * Encodes the record.
	 * @param codec the codec
	 * @param operationId identifier of the write
	 * @return the value of the row
	 */
	public String encode(RowCodec codec, String operationId) {
		Map<String, Object> fields = new LinkedHashMap<>();
		fields.put("slot", this.slot);
		fields.put("vmEpoch", this.epoch);
		fields.put("fencingToken", this.fencingToken);
		fields.put("operationId", operationId);
		return codec.encode(fields);
	}

	/**
	 * Returns whether a slot with its epoch owns the partition.
	 * @param holder the slot
	 * @return whether it does
	 */
	public boolean isOwnedBy(SlotRecord holder) {
		return this.slot == holder.slot() && this.epoch == holder.epoch();
	}

}
