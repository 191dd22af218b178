package org.banyanstile.core.rollout;

import java.util.Collection;
import java.util.List;
import java.util.Map;

import org.banyanstile.core.common.VmId;

/**
 * Decides when a stored configuration version is accepted, which means that it is in
 * force on each VM that serves. Not safe for use by several threads.
 * <p>
 * A version is accepted once all registered VMs have acknowledged it, according to a list
 * of VMs that was read after the commit; a VM that registers later reads the head before
 * it serves. It is also accepted once more than half have acknowledged it and the others
 * have stopped serving: a VM without a confirmation stops 4 s after the commit
 * ({@link Freshness}), and a VM that serves under the outage rule stops when the
 * heartbeats of that majority have replaced older ones.
 *
 * @author banyanstile contributors
 */
public final class AcceptanceTracker {

	/**
	 * Time after the commit within which each VM that has not received the version stops
	 * serving.
	 */
	public static final long STOPPED_NANOS = 5_000_000_000L;

	/**
	 * Time for which a heartbeat from before the acknowledgement can still be evidence
	 * for the outage rule of another VM.
	 */
	public static final long OLD_HEARTBEAT_NANOS = 2_500_000_000L;

	private long version;

	private long seenAt;

	private boolean majority;

	private long majorityAt;

	private long accepted;

	private AcceptanceTracker() {
	}

	/**
	 * Creates a tracker without a version.
	 * @return the tracker
	 */
	public static AcceptanceTracker create() {
		return new AcceptanceTracker();
	}

	/**
	 * Records that a version is durable.
	 * @param version the version
	 * @param now a time after its commit
	 */
	public void committed(long version, long now) {
		if (version > this.version) {
			this.version = version;
			this.seenAt = now;
			this.majority = false;
		}
	}

	/**
	 * Evaluates the acknowledgements of the highest version.
	 * @param registered the registered VMs
	 * @param registeredAt time before the list of registered VMs was read
	 * @param reported versions in recent heartbeats, this VM included
	 * @param now the current time
	 * @return the progress
	 */
	public RolloutProgress evaluate(Collection<VmId> registered, long registeredAt, Map<VmId, Long> reported,
			long now) {
		List<VmId> missing = registered.stream()
			.filter((vm) -> reported.getOrDefault(vm, 0L) < this.version)
			.sorted()
			.toList();
		boolean isMajority = 2 * (registered.size() - missing.size()) > registered.size();
		if (isMajority && !this.majority) {
			this.majorityAt = now;
		}
		this.majority = isMajority;
		boolean all = isMajority && missing.isEmpty() && registeredAt - this.seenAt >= 0;
		if (this.version > 0 && (all || othersStopped(now))) {
			this.accepted = this.version;
		}
		return new RolloutProgress(this.version, this.version > 0 && this.accepted == this.version, registered.size(),
				missing);
	}

	private boolean othersStopped(long now) {
		return this.majority && now - this.seenAt >= STOPPED_NANOS && now - this.majorityAt >= OLD_HEARTBEAT_NANOS;
	}

}
