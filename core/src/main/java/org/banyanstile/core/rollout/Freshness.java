package org.banyanstile.core.rollout;

/**
 * Decides whether this VM has confirmed that it serves the current configuration version.
 * A version counts as accepted 5 s after its commit even if a VM has not acknowledged it,
 * which is correct only if such a VM has stopped serving by then. A successful store call
 * of any kind is no confirmation: lease renewals can succeed while reads of the head fail
 * or return old rows. Not safe for use by several threads.
 * <p>
 * Unless the outage rule permits serving, a VM serves only while {@link #isFresh(long)}
 * holds.
 *
 * @author banyanstile contributors
 */
public final class Freshness {

	/**
	 * Time for which one confirmation permits serving, measured from before the read was
	 * sent. One second less than {@link AcceptanceTracker#STOPPED_NANOS}.
	 */
	public static final long CONFIRMED_NANOS = 4_000_000_000L;

	private long applied;

	private long known;

	private boolean hasRead;

	private long read;

	private long readAt;

	private boolean confirmed;

	private long confirmedAt;

	private boolean registered;

	private long registeredAt;

	private Freshness() {
	}

	/**
	 * Creates the state of a VM without a confirmation.
	 * @return the state
	 */
	public static Freshness create() {
		return new Freshness();
	}

	/**
	 * Records a read of {@code config/head}.
	 * @param version the version that it returned
	 * @param sentAt time before the read was sent
	 * @return what it means
	 */
	public HeadRead read(long version, long sentAt) {
		if (version < this.known) {
			return HeadRead.STALE;
		}
		if (!this.hasRead || version > this.read || sentAt - this.readAt > 0) {
			this.readAt = sentAt;
		}
		this.hasRead = true;
		this.known = version;
		this.read = version;
		confirm();
		return (version == this.applied) ? HeadRead.CONFIRMED : HeadRead.BEHIND;
	}

	/**
	 * Records that a peer reported a version, so that lower reads are rejected.
	 * @param version the version
	 */
	public void reported(long version) {
		this.known = Math.max(this.known, version);
	}

	/**
	 * Records that a version is in force here.
	 * @param version the version
	 */
	public void applied(long version) {
		this.applied = Math.max(this.applied, version);
		reported(version);
		confirm();
	}

	/**
	 * Records that this VM was registered. Reads that were sent before do not confirm a
	 * version, since versions can be accepted without this VM until it is registered.
	 * @param at time after the registration was committed
	 */
	public void registered(long at) {
		if (!this.registered) {
			this.registered = true;
			this.registeredAt = at;
			this.confirmed = this.confirmed && this.confirmedAt - at >= 0;
		}
	}

	/**
	 * Records that this VM is no longer registered.
	 */
	public void unregistered() {
		this.registered = false;
		this.confirmed = false;
	}

	/**
	 * Returns the highest version that is known to exist.
	 * @return the version
	 */
	public long known() {
		return this.known;
	}

	/**
	 * Returns whether the version in force here is known to be current.
	 * @param now the current time
	 * @return whether it was confirmed in the last 4 s, while registered
	 */
	public boolean isFresh(long now) {
		return this.registered && this.confirmed && now - this.confirmedAt < CONFIRMED_NANOS;
	}

	private void confirm() {
		boolean counts = this.hasRead && this.read == this.applied && this.registered
				&& this.readAt - this.registeredAt >= 0;
		if (counts && (!this.confirmed || this.readAt - this.confirmedAt > 0)) {
			this.confirmed = true;
			this.confirmedAt = this.readAt;
		}
	}

}
