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
	 * 2.5 s after the last report that satisfies it was sent, and for 1 s until it has
	 * renewed. So 3 s, which would be enough without paused receivers, is too short.
	 */
	public static final long PERSIST_NANOS = 4_000_000_000L;

	/**
	 * Longest time between two updates. After a longer one this VM was paused and may
	 * have missed an interruption of the majority.
	 */
	private static final long MAX_UPDATE_GAP_NANOS = 1_500_000_000L;

	private final ServingGate gate;

	private boolean reached;

	private long reachedSince;

	private long updatedAt;

	private StoreQuorum(ServingGate gate) {
		this.gate = gate;
	}

	/**
	 * Creates a quorum that is not reached yet.
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
		boolean wasReached = this.reached && now - this.updatedAt <= MAX_UPDATE_GAP_NANOS;
		this.reached = this.gate.storeReachedByMajority(now);
		this.updatedAt = now;
		if (this.reached && !wasReached) {
			this.reachedSince = now;
		}
	}

	/**
	 * Returns whether ownership may change.
	 * @param now the current time
	 * @return whether it may
	 */
	public boolean permitsTakeover(long now) {
		update(now);
		return this.reached && now - this.reachedSince >= PERSIST_NANOS;
	}

}
