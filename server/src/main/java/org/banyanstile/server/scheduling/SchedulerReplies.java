package org.banyanstile.server.scheduling;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Tracks which schedulers reply to this VM. Safe for use by several threads.
 *
 * @author banyanstile contributors
 */
final class SchedulerReplies {

	private static final long AVOIDED_NANOS = 5_000_000_000L;

	/**
	 * Interval at which one of the waiting requests of a VM is repeated.
	 */
	private static final long PROBE_NANOS = 200_000_000L;

	private final Map<String, Long> repliedAt = new HashMap<>();

	private final Map<String, Long> probedAt = new HashMap<>();

	private final Map<String, Long> avoidedUntil = new HashMap<>();

	synchronized void replied(String scheduler, long now) {
		this.repliedAt.put(scheduler, now);
		this.avoidedUntil.remove(scheduler);
	}

	/**
	 * Records that messages to a scheduler were not replied to.
	 * @param scheduler name of its VM
	 * @param since time of the first of them
	 * @param now the current time in nanoseconds
	 * @return whether the scheduler is avoided from now on, {@code false} if it is
	 * already avoided or has replied to another message
	 */
	synchronized boolean silent(String scheduler, long since, long now) {
		Long replied = this.repliedAt.get(scheduler);
		if ((replied != null && replied - since > 0) || this.avoidedUntil.containsKey(scheduler)) {
			return false;
		}
		this.avoidedUntil.put(scheduler, now + AVOIDED_NANOS);
		return true;
	}

	synchronized boolean hasReplied(String scheduler, long since) {
		Long replied = this.repliedAt.get(scheduler);
		return replied != null && replied - since >= 0;
	}

	synchronized Set<String> avoided(long now) {
		this.avoidedUntil.values().removeIf((until) -> now - until >= 0);
		return this.avoidedUntil.isEmpty() ? Set.of() : new HashSet<>(this.avoidedUntil.keySet());
	}

	synchronized boolean tryProbe(String scheduler, long now) {
		Long replied = this.repliedAt.get(scheduler);
		Long probed = this.probedAt.get(scheduler);
		if ((replied != null && now - replied < PROBE_NANOS) || (probed != null && now - probed < PROBE_NANOS)) {
			return false;
		}
		this.probedAt.put(scheduler, now);
		return true;
	}

}
