package org.banyanstile.core.quarantine;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

import org.banyanstile.core.limit.FleetPosition;
import org.jspecify.annotations.Nullable;

/**
 * Evidence against one trait, and the trial by which this VM finds out whether requests
 * with the trait still crash endpoints. Not safe for use by several threads.
 *
 * @author banyanstile contributors
 */
final class Suspicion {

	private final long trait;

	private int clearances;

	private final List<Long> crashes = new ArrayList<>();

	private long crashedAt;

	private long activeAt;

	private @Nullable Object trial;

	private long deniedUntil;

	private long denialNanos;

	/**
	 * Time until which this evidence is sent to other VMs before older evidence.
	 */
	private long recentUntil;

	Suspicion(long trait, long crashedAt, long activeAt) {
		this.trait = trait;
		this.crashedAt = crashedAt;
		this.activeAt = activeAt;
		this.deniedUntil = activeAt;
	}

	/**
	 * Adds a crash, unless it is known or enough crashes are.
	 * @param crash hash of the crashed incarnation of an endpoint
	 * @param at time of the crash in nanoseconds
	 * @return whether it was added
	 */
	boolean addCrash(long crash, long at) {
		if (this.crashes.contains(crash) || this.crashes.size() >= CrashQuarantine.MAX_CRASHES) {
			return false;
		}
		this.crashes.add(crash);
		this.denialNanos = 0;
		this.crashedAt = later(this.crashedAt, at);
		this.activeAt = later(this.activeAt, at);
		return true;
	}

	// Times are compared by their difference, since the clock may overflow.
	private static long later(long one, long other) {
		return (one - other > 0) ? one : other;
	}

	void clear(int newClearances, long at) {
		this.clearances = newClearances;
		this.crashes.clear();
		this.activeAt = later(this.activeAt, at);
	}

	void changed(long now) {
		this.recentUntil = now + CrashQuarantine.RECENT_NANOS;
	}

	boolean isQuarantined() {
		return this.crashes.size() >= CrashQuarantine.QUARANTINE_CRASHES;
	}

	/**
	 * Returns whether a part of prompts was present at each of these crashes, so that it
	 * can be the cause of all of them. A whole request is never more likely the cause
	 * than its parts.
	 * @param other evidence against the other trait
	 * @return whether it can
	 */
	boolean isExplainedBy(Suspicion other) {
		return other != this && Traits.isPart(other.trait) && other.isQuarantined()
				&& other.crashes.containsAll(this.crashes);
	}

	/**
	 * Returns the end of the pause before a trial.
	 * @param explained whether another trait can be the cause of all crashes
	 * @return the time in nanoseconds
	 */
	private long pauseEnd(boolean explained) {
		long pause = CrashQuarantine.pauseNanos(this.crashes.size(), explained);
		return ((pause == CrashQuarantine.FORGET_NANOS) ? this.activeAt : this.crashedAt) + pause;
	}

	/**
	 * Returns the time after which a request is worth a retry. Once the pause is over, a
	 * trial on another VM may soon end the quarantine.
	 * @param explained whether another trait can be the cause of all crashes
	 * @param position position of this VM in orders of the VMs
	 * @param now the current time in nanoseconds
	 * @return the time in nanoseconds, not positive if this VM may claim a trial
	 */
	long waitNanos(boolean explained, FleetPosition position, long now) {
		long sincePause = now - pauseEnd(explained);
		if (sincePause < 0) {
			return -sincePause;
		}
		if (this.trial != null) {
			return CrashQuarantine.TRIAL_NANOS;
		}
		long rankDelay = rankDelayNanos(position.of("trial " + this.trait).rank());
		return Math.min(CrashQuarantine.TRIAL_NANOS, Math.max(rankDelay - sincePause, this.deniedUntil - now));
	}

	static long rankDelayNanos(int rank) {
		int doublings = Integer.SIZE - Integer.numberOfLeadingZeros(rank / CrashQuarantine.FIRST_CLAIMANTS);
		return TimeUnit.SECONDS.toNanos(doublings);
	}

	TrialClaim claim(boolean explained, long now) {
		long sincePause = Math.max(0, now - pauseEnd(explained));
		return new TrialClaim(this.trait, this.clearances, this.crashes.size(), sincePause / CrashQuarantine.TURN_NANOS,
				sincePause % CrashQuarantine.TURN_NANOS);
	}

	boolean isTrialOf(Object call) {
		return this.trial == call;
	}

	void beginTrial(Object call) {
		this.trial = call;
	}

	void endTrial(Object call) {
		if (this.trial == call) {
			this.trial = null;
		}
	}

	/**
	 * Ends a trial that this VM may not begin, and postpones its next claim. The pauses
	 * between claims double, as long as nothing new is known.
	 * @param now the current time in nanoseconds
	 */
	void denied(long now) {
		this.trial = null;
		this.denialNanos = Math.min(CrashQuarantine.MAX_DENIAL_NANOS,
				Math.max(CrashQuarantine.TRIAL_NANOS, 2 * this.denialNanos));
		this.deniedUntil = now + this.denialNanos;
	}

	void refused(long now) {
		this.activeAt = now;
	}

	long activeAt() {
		return this.activeAt;
	}

	int clearances() {
		return this.clearances;
	}

	int crashCount() {
		return this.crashes.size();
	}

	boolean isRecent(long now) {
		return now - this.recentUntil < 0;
	}

	static Suspicion of(CrashEvidence report, long now) {
		Suspicion suspicion = new Suspicion(report.trait(), timeOf(report.crashAgeMillis(), now),
				timeOf(report.activeAgeMillis(), now));
		suspicion.clearances = report.clearances();
		return suspicion;
	}

	private static long timeOf(long ageMillis, long now) {
		return now - TimeUnit.MILLISECONDS.toNanos(Math.max(0, ageMillis));
	}

	/**
	 * Merges the evidence of another VM.
	 * @param report the evidence
	 * @param now the current time in nanoseconds
	 * @return whether one of the two VMs lacked something that the other one has
	 */
	boolean merge(CrashEvidence report, long now) {
		if (report.clearances() < this.clearances) {
			return true;
		}
		long reportedActiveAt = timeOf(report.activeAgeMillis(), now);
		boolean changed = report.clearances() > this.clearances;
		if (changed) {
			clear(report.clearances(), reportedActiveAt);
		}
		for (long crash : report.crashes()) {
			changed |= addCrash(crash, timeOf(report.crashAgeMillis(), now));
		}
		if (reportedActiveAt - this.activeAt > CrashQuarantine.REFUSAL_INTERVAL_NANOS / 2) {
			this.activeAt = reportedActiveAt;
			changed = true;
		}
		return changed;
	}

	CrashEvidence report(long now) {
		return new CrashEvidence(this.trait, this.clearances, List.copyOf(this.crashes),
				TimeUnit.NANOSECONDS.toMillis(Math.max(0, now - this.crashedAt)),
				TimeUnit.NANOSECONDS.toMillis(Math.max(0, now - this.activeAt)));
	}

}
