package org.banyanstile.core.lease;

/**
 * Ownership of role changes, held by one VM at a time through a row of the store. The
 * owner writes the row conditionally before it sends role-change orders; the version of
 * that write is its fencing token. Another VM takes the row over only after it has not
 * changed for longer than a write is valid, so orders of two owners never interleave.
 * After the store has returned from a copy, the write of the owner may be lost, so every
 * VM waits as if the row had just changed. Nothing is written while there are no orders.
 * Not safe for use by several threads.
 *
 * @author banyanstile contributors
 */
public final class RoleChangeOwnership {

	/**
	 * Time for which a write permits orders, measured from before the write was sent.
	 */
	public static final long VALIDITY_NANOS = 1_000_000_000L;

	/**
	 * Time without a change after which another VM may take the row over. It covers the
	 * validity of the last write and the three seconds that must separate orders of two
	 * owners.
	 */
	public static final long TAKEOVER_NANOS = 5_000_000_000L;

	private final String vm;

	private long version = -1;

	private String owner = "";

	private long unchangedSince;

	private long writtenAt;

	private long token = -1;

	private RoleChangeOwnership(String vm) {
		this.vm = vm;
	}

	/**
	 * Creates the state of a VM that has not read the row.
	 * @param vm name of this VM
	 * @return the state
	 */
	public static RoleChangeOwnership of(String vm) {
		return new RoleChangeOwnership(vm);
	}

	/**
	 * Records a read of the row.
	 * @param rowVersion version of the row, 0 if it does not exist and the store never
	 * returned from a copy
	 * @param rowOwner the VM that wrote it, empty if that is not known
	 * @param now the current time in nanoseconds
	 */
	public void read(long rowVersion, String rowOwner, long now) {
		if (rowVersion != this.version) {
			this.version = rowVersion;
			this.owner = rowOwner;
			this.unchangedSince = now;
		}
	}

	/**
	 * Returns whether this VM may write the row.
	 * @param now the current time in nanoseconds
	 * @return whether it may
	 */
	public boolean mayWrite(long now) {
		return this.version == 0 || (this.version > 0 && this.owner.equals(this.vm))
				|| (this.version > 0 && now - this.unchangedSince >= TAKEOVER_NANOS);
	}

	/**
	 * Returns the version that the next write has to expect.
	 * @return the version
	 */
	public long expectedVersion() {
		return this.version;
	}

	/**
	 * Records a write that the store confirmed.
	 * @param newVersion new version of the row
	 * @param began time in nanoseconds before the write was sent
	 */
	public void written(long newVersion, long began) {
		this.version = newVersion;
		this.owner = this.vm;
		this.unchangedSince = began;
		this.writtenAt = began;
		this.token = newVersion;
	}

	/**
	 * Gives up ownership after an engine reported a higher token, or a write failed.
	 */
	public void lost() {
		this.token = -1;
		this.version = -1;
	}

	/**
	 * Returns the fencing token for an order.
	 * @param now the current time in nanoseconds
	 * @return the token, or -1 if the row has to be written first
	 */
	public long token(long now) {
		return (this.token >= 0 && now - this.writtenAt < VALIDITY_NANOS) ? this.token : -1;
	}

}
