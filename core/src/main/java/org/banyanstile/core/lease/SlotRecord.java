package org.banyanstile.core.lease;

import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

import org.banyanstile.core.common.DataCentreId;
import org.banyanstile.core.common.VmId;
import org.banyanstile.core.membership.VmState;
import org.banyanstile.core.store.Fields;
import org.banyanstile.core.store.Row;
import org.banyanstile.core.store.RowCodec;

/**
 * Content of the row {@code vm/<slot>} of a VM slot.
 *
 * @param slot number of the VM slot
 * @param vm VM that holds it
 * @param epoch increases with each acquisition of the slot
 * @param dataCentre data centre of the VM
 * @param callerAddress address for callers, {@code ip:port}
 * @param vmAddress address for other VMs, {@code ip:port}
 * @param state state of the VM
 * @param operationId identifier of the write that produced the row
 * @author banyanstile contributors
 */
public record SlotRecord(int slot, VmId vm, long epoch, DataCentreId dataCentre, String callerAddress, String vmAddress,
		VmState state, String operationId) {

	/**
	 * Prefix of the row keys.
	 */
	public static final String PREFIX = "vm/";

	/**
	 * Returns the row key of a slot.
	 * @param slot number of the slot
	 * @return the key
	 */
	public static String key(int slot) {
		return PREFIX + slot;
	}

	/**
	 * Decodes a row.
	 * @param row the row
	 * @param codec the codec
	 * @return the record
	 * @throws IllegalArgumentException if the row is malformed
	 */
	public static SlotRecord decode(Row row, RowCodec codec) {
		Fields fields = Fields.of(row, codec);
		return new SlotRecord(Integer.parseInt(row.key().substring(PREFIX.length())), VmId.of(fields.text("vm")),
				fields.number("epoch"), DataCentreId.of(fields.text("dataCentre")), fields.text("callerAddress"),
				fields.text("vmAddress"), VmState.valueOf(fields.text("state").toUpperCase(Locale.ROOT)),
				fields.text("operationId"));
	}

	/**
	 * Encodes the record.
	 * @param codec the codec
	 * @return the value of the row
	 */
	public String encode(RowCodec codec) {
		Map<String, Object> fields = new LinkedHashMap<>();
		fields.put("vm", this.vm.name());
		fields.put("epoch", this.epoch);
		fields.put("dataCentre", this.dataCentre.name());
		fields.put("callerAddress", this.callerAddress);
		fields.put("vmAddress", this.vmAddress);
		fields.put("state", this.state.name().toLowerCase(Locale.ROOT));
		fields.put("operationId", this.operationId);
		return codec.encode(fields);
	}

	/**
	 * Returns whether the slot is held by a VM according to the row. The lease may have
	 * expired.
	 * @return whether it is not released
	 */
	public boolean isHeld() {
		return this.state != VmState.RELEASED;
	}

	/**
	 * Returns a copy for the next write of the same lease.
	 * @param state the new state
	 * @param operationId identifier of the write
	 * @return the copy
	 */
	public SlotRecord next(VmState state, String operationId) {
		return new SlotRecord(this.slot, this.vm, this.epoch, this.dataCentre, this.callerAddress, this.vmAddress,
				state, operationId);
	}

	/**
	 * Returns a copy for the acquisition of a slot.
	 * @param slot number of the slot
	 * @param epoch the new epoch
	 * @param state the new state
	 * @param operationId identifier of the write
	 * @return the copy
	 */
	public SlotRecord acquire(int slot, long epoch, VmState state, String operationId) {
		return new SlotRecord(slot, this.vm, epoch, this.dataCentre, this.callerAddress, this.vmAddress, state,
				operationId);
	}

}
