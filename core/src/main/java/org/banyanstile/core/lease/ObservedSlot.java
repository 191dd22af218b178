package org.banyanstile.core.lease;

/**
 * Row of a VM slot as this VM has observed it.
 *
 * @param record content of the row
 * @param version version of the row
 * @param firstSeen time at which this VM first received this version
 * @author banyanstile contributors
 */
public record ObservedSlot(SlotRecord record, long version, long firstSeen) {

	/**
	 * Returns whether the lease of the holder has certainly ended. This needs no clock of
	 * the holder, since its lease began before this version was written.
	 * @param now the current time
	 * @return whether the row was unchanged for {@link SlotTable#TAKEOVER_NANOS}
	 */
	public boolean isExpired(long now) {
		return now - this.firstSeen >= SlotTable.TAKEOVER_NANOS;
	}

}
