package org.banyanstile.core.membership;

/**
 * Decides whether ownership may change: more than half of the registered VMs have
 * reported store contact without interruption for some time. Not safe for use by several
 * threads.
 *
 * @author banyanstile contributors
 */
public final class StoreQuorum {

	/**
	 * Time for which the majority must persist. An owner may rely on the outage rule for
	 * 2.5 s after the last report behind it was sent and for 1 s until it has renewed, so
	 * the 3 s of a design without paused receivers are too short.
	 */
	public static final long PERSIST_NANOS = 4_000_000_000L;

	/**
	 * Longest time between two updates. After a longer one this VM was paused and has not
	 * seen an interruption of the majority.
	 */
	private static final long GAP_NANOS = 1_500_000_000L;

	private final ServingGate gate;

	private boolean reached;

	private long since;

	private long updated;

	private StoreQuorum(ServingGate gate) {
		this.gate = gate;
	}

	/**
	 * Creates the tracker.
	 * @param gate source of the reports
	 * @return the tracker
	 */
	public static StoreQuorum create(ServingGate gate) {
		return new StoreQuorum(gate);
	}

	/**
	 * Evaluates the reports. Call at least each second.
	 * @param now the current time
	 */
	public void update(long now) {
		boolean wasReached = this.reached && now - this.updated <= GAP_NANOS;
		this.reached = this.gate.storeReachedByMajority(now);
		this.updated = now;
		if (this.reached && !wasReached) {
			this.since = now;
		}
	}

	/**
	 * Returns whether ownership may change.
	 * @param now the current time
	 * @return whether it may
	 */
	public boolean permitsTakeover(long now) {
		update(now);
		return this.reached && now - this.since >= PERSIST_NANOS;
	}

}
