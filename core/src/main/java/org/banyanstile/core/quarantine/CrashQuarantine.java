package org.banyanstile.core.quarantine;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import org.banyanstile.core.limit.FleetPosition;

/**
 * Finds the traits of requests that crash the endpoints that run them, and refuses
 * requests that have such a trait. It answers the load in which each of these requests is
 * a new one and shares only a part of its prompt with the others.
 * <p>
 * A request that was at an endpoint without an answer when the endpoint crashed makes its
 * traits suspects. An answer to a request clears all its traits. A trait that was present
 * at several crashes and in no answer since is quarantined. If another quarantined part
 * of prompts was present at the same crashes, a request that has only one of the two is a
 * trial, as is the first request after a pause. A VM claims a trial before it begins it,
 * so that one VM tries at a time.
 * <p>
 * VMs exchange {@linkplain CrashEvidence evidence} and pass it on. Merging is idempotent,
 * commutative and associative. Safe for use by several threads.
 *
 * @author banyanstile contributors
 */
public final class CrashQuarantine {

	/**
	 * Crashes without an answer after which a trait is quarantined. One or two can be
	 * coincidence when several endpoints crash at the same time.
	 */
	static final int QUARANTINE_CRASHES = 3;

	/**
	 * Crashes without an answer after which there is no trial until the trait is
	 * forgotten.
	 */
	static final int MAX_CRASHES = 5;

	/**
	 * Time after which a trait is forgotten if no endpoint crashed and no request with
	 * the trait was refused.
	 */
	static final long FORGET_NANOS = TimeUnit.HOURS.toNanos(1);

	/**
	 * Pause before a trial after the number of crashes that begins a quarantine. Longer
	 * than a crashed endpoint takes to return.
	 */
	static final long FIRST_PAUSE_NANOS = TimeUnit.SECONDS.toNanos(4);

	static final long SECOND_PAUSE_NANOS = TimeUnit.MINUTES.toNanos(1);

	/**
	 * Pause before a trial of a trait if another one can be the cause of its crashes. The
	 * evidence reaches all VMs within it.
	 */
	static final long EXPLAINED_PAUSE_NANOS = TimeUnit.SECONDS.toNanos(1);

	/**
	 * VMs that may claim a trial as soon as the pause is over. Their number doubles each
	 * second, so that a large fleet does not send as many claims to the store as callers
	 * return at once.
	 */
	static final int FIRST_CLAIMANTS = 8;

	/**
	 * Time in which a claim stands if its trial neither ends with a result nor is given
	 * up. VMs that do not hear of the result in it may try again.
	 */
	static final long TURN_NANOS = TimeUnit.MINUTES.toNanos(1);

	/**
	 * Time after which a request that is refused because a trial can run elsewhere may
	 * return.
	 */
	static final long TRIAL_NANOS = TimeUnit.SECONDS.toNanos(1);

	/**
	 * Longest pause between two claims of a VM.
	 */
	static final long MAX_DENIAL_NANOS = TimeUnit.SECONDS.toNanos(8);

	/**
	 * Interval at which refusals prolong a quarantine, so that a flood of refused
	 * requests does not become a flood of messages.
	 */
	static final long REFUSAL_INTERVAL_NANOS = TimeUnit.MINUTES.toNanos(2);

	/**
	 * Time for which changed evidence is sent in each gossip round. Twelve rounds.
	 */
	static final long RECENT_NANOS = TimeUnit.SECONDS.toNanos(3);

	static final int MAX_SUSPICIONS = 256;

	/**
	 * Largest number of traits in a message to another VM, at most some 70 bytes each.
	 */
	static final int MAX_REPORTED = 16;

	static final int MAX_REPORTED_OLDER = 4;

	/**
	 * Traits of a request that a crash makes suspects. A caller chooses the number of
	 * parts of a prompt.
	 */
	static final int MAX_TRAITS_PER_CRASH = 32;

	private final Map<Long, Suspicion> suspicions = new HashMap<>();

	private final AnsweredTraits answered = new AnsweredTraits();

	private int reportOffset;

	private CrashQuarantine() {
	}

	/**
	 * Creates a quarantine without evidence.
	 * @return the quarantine
	 */
	public static CrashQuarantine create() {
		return new CrashQuarantine();
	}

	/**
	 * Returns the pause after a crash until a trial.
	 * @param crashes number of crashes without an answer
	 * @param explained whether another trait can be the cause
	 * @return the pause in nanoseconds
	 */
	static long pauseNanos(int crashes, boolean explained) {
		if (explained) {
			return EXPLAINED_PAUSE_NANOS;
		}
		if (crashes >= MAX_CRASHES) {
			return FORGET_NANOS;
		}
		return (crashes > QUARANTINE_CRASHES) ? SECOND_PAUSE_NANOS : FIRST_PAUSE_NANOS;
	}

	/**
	 * Decides whether a request may be sent to an endpoint. A request that may be sent as
	 * a trial holds it until {@link #end(Object)} or {@link #denied(Object, long)}, so
	 * that no other request of this VM is tried beside it.
	 * @param call identity of the request
	 * @param traits its traits
	 * @param position position of this VM in orders of the VMs
	 * @param now the current time in nanoseconds
	 * @return the decision
	 */
	public synchronized QuarantineDecision decide(Object call, Collection<Long> traits, FleetPosition position,
			long now) {
		List<Suspicion> quarantined = new ArrayList<>();
		List<TrialClaim> claims = new ArrayList<>();
		long wait = 0;
		for (long trait : traits) {
			Suspicion suspicion = this.suspicions.get(trait);
			if (suspicion == null || !suspicion.isQuarantined() || suspicion.isTrialOf(call)) {
				continue;
			}
			boolean explained = isExplained(suspicion, traits);
			quarantined.add(suspicion);
			claims.add(suspicion.claim(explained, now));
			wait = Math.max(wait, suspicion.waitNanos(explained, position, now));
		}
		if (claims.isEmpty()) {
			return QuarantineDecision.SEND;
		}
		if (claims.size() > MAX_TRAITS_PER_CRASH) {
			wait = Math.max(wait, TRIAL_NANOS);
		}
		if (wait > 0) {
			quarantined.forEach((suspicion) -> prolong(suspicion, now));
			return QuarantineDecision.refuse(wait);
		}
		quarantined.forEach((suspicion) -> suspicion.beginTrial(call));
		return QuarantineDecision.tryAfter(claims);
	}

	private static void prolong(Suspicion suspicion, long now) {
		if (now - suspicion.activeAt() >= REFUSAL_INTERVAL_NANOS) {
			suspicion.refused(now);
			suspicion.changed(now);
		}
	}

	/**
	 * Ends the trials of a request whose claims were not acquired.
	 * @param call identity of the request
	 * @param now the current time in nanoseconds
	 * @return the time in nanoseconds after which the request is worth a retry
	 */
	public synchronized long denied(Object call, long now) {
		this.suspicions.values()
			.stream()
			.filter((suspicion) -> suspicion.isTrialOf(call))
			.forEach((suspicion) -> suspicion.denied(now));
		return TRIAL_NANOS;
	}

	// Another trait explains the crashes only for a request that does not have it.
	private boolean isExplained(Suspicion suspicion, Collection<Long> traits) {
		for (Map.Entry<Long, Suspicion> other : this.suspicions.entrySet()) {
			if (!traits.contains(other.getKey()) && suspicion.isExplainedBy(other.getValue())) {
				return true;
			}
		}
		return false;
	}

	/**
	 * Ends the trials that a request holds.
	 * @param call identity of the request
	 */
	public synchronized void end(Object call) {
		this.suspicions.values().forEach((suspicion) -> suspicion.endTrial(call));
	}

	/**
	 * Returns whether there is no evidence, so that no request is refused.
	 * @return whether there is none
	 */
	public synchronized boolean isEmpty() {
		return this.suspicions.isEmpty();
	}

	/**
	 * Records that an endpoint crashed before it answered a request. It ends the trials
	 * that the request holds.
	 * @param call identity of the request
	 * @param traits traits of the request
	 * @param crash hash of the incarnation of the endpoint
	 * @param now the current time in nanoseconds
	 * @return the traits that this crash puts into quarantine
	 */
	public synchronized List<Long> crashed(Object call, Collection<Long> traits, long crash, long now) {
		end(call);
		List<Long> quarantined = new ArrayList<>();
		for (long trait : suspects(traits)) {
			Suspicion suspicion = this.suspicions.get(trait);
			if (suspicion == null) {
				suspicion = add(trait, new Suspicion(trait, now, now), now);
			}
			boolean wasQuarantined = suspicion.isQuarantined();
			if (suspicion.addCrash(crash, now)) {
				suspicion.changed(now);
			}
			if (suspicion.isQuarantined() && !wasQuarantined) {
				this.answered.remove(trait);
				quarantined.add(trait);
			}
		}
		return quarantined;
	}

	// A part that was answered is not suspected beside one that never was.
	private List<Long> suspects(Collection<Long> traits) {
		boolean unknownPart = traits.stream()
			.anyMatch((trait) -> Traits.isPart(trait) && !this.answered.contains(trait));
		return traits.stream()
			.filter((trait) -> !Traits.isPart(trait) || !unknownPart || !this.answered.contains(trait))
			.limit(MAX_TRAITS_PER_CRASH)
			.toList();
	}

	/**
	 * Records that an endpoint answered a request or began to do so, which clears the
	 * traits of the request.
	 * @param traits traits of the request
	 * @param now the current time in nanoseconds
	 */
	public synchronized void answered(Collection<Long> traits, long now) {
		for (long trait : traits) {
			this.answered.add(trait);
			Suspicion suspicion = this.suspicions.get(trait);
			if (suspicion != null && suspicion.crashCount() > 0) {
				suspicion.clear(suspicion.clearances() + 1, now);
				suspicion.changed(now);
			}
		}
	}

	private Suspicion add(long trait, Suspicion suspicion, long now) {
		this.suspicions.values().removeIf((known) -> now - known.activeAt() >= FORGET_NANOS);
		if (this.suspicions.size() >= MAX_SUSPICIONS) {
			this.suspicions.entrySet()
				.stream()
				.min(Comparator.<Map.Entry<Long, Suspicion>>comparingInt((entry) -> entry.getValue().crashCount())
					.thenComparingLong((entry) -> entry.getValue().activeAt() - now))
				.map(Map.Entry::getKey)
				.ifPresent(this.suspicions::remove);
		}
		this.suspicions.put(trait, suspicion);
		return suspicion;
	}

	/**
	 * Returns the evidence to send to other VMs: what changed last, and some of the
	 * quarantined traits in turn, for VMs that missed a change or have just started.
	 * @param now the current time in nanoseconds
	 * @return at most {@link #MAX_REPORTED} records
	 */
	public synchronized List<CrashEvidence> reports(long now) {
		List<Suspicion> recent = new ArrayList<>();
		List<Suspicion> older = new ArrayList<>();
		for (Suspicion suspicion : this.suspicions.values()) {
			if (suspicion.isRecent(now)) {
				recent.add(suspicion);
			}
			else if (suspicion.isQuarantined()) {
				older.add(suspicion);
			}
		}
		recent.sort(Comparator.comparingInt(Suspicion::crashCount).reversed());
		int reportedOlder = Math.min(MAX_REPORTED_OLDER, older.size());
		List<CrashEvidence> reports = new ArrayList<>();
		recent.stream().limit(MAX_REPORTED - reportedOlder).forEach((suspicion) -> reports.add(suspicion.report(now)));
		for (int i = 0; i < reportedOlder; i++) {
			reports.add(older.get(Math.floorMod(this.reportOffset++, older.size())).report(now));
		}
		return reports;
	}

	/**
	 * Merges the evidence of another VM.
	 * @param reports the evidence
	 * @param now the current time in nanoseconds
	 * @return the traits that this evidence puts into quarantine
	 */
	public synchronized List<Long> merge(List<CrashEvidence> reports, long now) {
		List<Long> quarantined = new ArrayList<>();
		for (CrashEvidence report : reports.subList(0, Math.min(MAX_REPORTED, reports.size()))) {
			if (report.activeAgeMillis() >= TimeUnit.NANOSECONDS.toMillis(FORGET_NANOS)) {
				continue;
			}
			Suspicion suspicion = this.suspicions.get(report.trait());
			if (suspicion == null) {
				suspicion = add(report.trait(), Suspicion.of(report, now), now);
			}
			boolean wasQuarantined = suspicion.isQuarantined();
			if (suspicion.merge(report, now)) {
				suspicion.changed(now);
			}
			if (suspicion.isQuarantined() && !wasQuarantined) {
				this.answered.remove(report.trait());
				quarantined.add(report.trait());
			}
		}
		return quarantined;
	}

}
