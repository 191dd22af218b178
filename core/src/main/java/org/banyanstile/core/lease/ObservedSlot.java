package org.banyanstile.core.lease;

/**
 * A slot row as this VM has observed it.
 *
 * @param record content of the row
 * @param version version of the row
 * @param firstSeen time at which this VM first had this version in hand
 * @author banyanstile contributors
 */
public record ObservedSlot(SlotRecord record, long version, long firstSeen) {

	/**
	 * Returns whether the lease of the holder has certainly ended. No clock of the holder
	 * is compared: its lease began before this version was written.
	 * @param now the current time
	 * @return whether the row was unchanged for the lease and the margin
	 */
	public boolean isExpired(long now) {
		return now - this.firstSeen >= SlotTable.TAKEOVER_NANOS;
	}

}
