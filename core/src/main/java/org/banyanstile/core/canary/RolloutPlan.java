package org.banyanstile.core.canary;

import java.util.Set;

import org.jspecify.annotations.Nullable;

/**
 * Decides on the stages of a rollout. The share of the new version follows the number of
 * requests that a bad version may get: about a third of it is spent on samples of every
 * route, another third on a step of load. The full phase begins as late as requests of
 * the old version allow, since a version that turns bad in it exceeds the rest of the
 * bound within a second.
 *
 * @author banyanstile contributors
 */
public final class RolloutPlan {

	private static final double SAMPLE_END = 0.3;

	private static final double SAMPLE_SPENDING = 0.4;

	private static final double LOAD_SPENDING = 0.7;

	private static final double MIN_SHARE = 0.02;

	private static final double MAX_SHARE = 0.5;

	/**
	 * Ratio of the planned share to that of the current stage at which another stage is
	 * written.
	 */
	private static final double SHARE_CHANGE = 1.3;

	/**
	 * Shortest time between two changes of the share alone.
	 */
	private static final double SHARE_INTERVAL = 0.05;

	/**
	 * Time for the write of the last stage and for the messages before it.
	 */
	private static final long WRITE_MILLIS = 800;

	/**
	 * Longest part of the time to the deadline that is reserved for requests of the old
	 * version.
	 */
	private static final double MAX_END_SHARE = 0.4;

	private static final long MIN_END_MILLIS = 500;

	private static final double END_QUANTILE = 0.95;

	private static final double END_MARGIN = 1.3;

	/**
	 * Time for which a share holds that no newer stage confirms.
	 */
	private static final long SHARE_VALID_MILLIS = 4000;

	/**
	 * Shortest time over which the rest of the bound is spread.
	 */
	private static final long MIN_AHEAD_MILLIS = 1000;

	private RolloutPlan() {
	}

	/**
	 * Returns the stage that is due.
	 * @param order the request of the operator
	 * @param stage the current stage, {@code null} before the first one
	 * @param facts what is known about the fleet
	 * @param bounds bounds on the requests that a bad version may get
	 * @return the stage that is due and why, the current one if no other is
	 */
	public static Decision decide(RolloutOrder order, @Nullable RolloutStage stage, Facts facts,
			ExposureBounds bounds) {
		if (stage == null || stage.order() != order.id()) {
			return new Decision(new RolloutStage(order.id(), 1, RolloutPhase.SAMPLE, bounds.share() / 2,
					facts.nowMillis(), facts.nowMillis() + SHARE_VALID_MILLIS, facts.oldVersions()), "requested");
		}
		if (stage.phase().isFinal()) {
			return new Decision(stage, "final");
		}
		String fault = VersionJudgement.fault(facts.evidence());
		if (fault != null) {
			return rollback(stage, facts, fault);
		}
		long elapsed = facts.nowMillis() - stage.startMillis();
		long endMillis = endMillis(order, facts.evidence());
		if (stage.phase() == RolloutPhase.FULL) {
			return full(order, stage, facts, elapsed);
		}
		if (elapsed >= order.deadlineMillis() - endMillis && facts.isNewReady()
				&& VersionJudgement.isSufficient(facts.evidence())) {
			return new Decision(stage.next(RolloutPhase.FULL, 1, Long.MAX_VALUE),
					facts.evidence().all(true).answers() + " responses without a fault");
		}
		if (elapsed >= order.deadlineMillis()) {
			// The old version is known to serve callers, the new one is not.
			return rollback(stage, facts,
					"the evidence is too thin at the deadline: " + facts.evidence().all(true).answers() + " responses");
		}
		return share(order, stage, facts, bounds, endMillis);
	}

	private static Decision rollback(RolloutStage stage, Facts facts, String reason) {
		return new Decision(stage.next(RolloutPhase.ROLLED_BACK, 0, Long.MAX_VALUE),
				reason + "; " + facts.evidence().sentNew() + " of " + facts.evidence().requests()
						+ " requests were sent to the new version");
	}

	// Time before the deadline at which the full phase begins.
	private static long endMillis(RolloutOrder order, FleetEvidence evidence) {
		long usual = Math.round(END_MARGIN * evidence.all(false).totals().quantileMillis(END_QUANTILE));
		long longest = Math.round(MAX_END_SHARE * order.deadlineMillis());
		return Math.min(longest, WRITE_MILLIS + Math.max(MIN_END_MILLIS, usual));
	}

	// The verdict is not written before it is due, since it cannot be taken back.
	// Requests
	// of the old version that outlast the deadline do not delay it.
	private static Decision full(RolloutOrder order, RolloutStage stage, Facts facts, long elapsed) {
		long margin = Math.min(WRITE_MILLIS, order.deadlineMillis() / 8);
		boolean due = elapsed >= order.deadlineMillis() - margin
				|| (facts.isOldIdle() && elapsed >= order.deadlineMillis() - 2 * margin);
		if (!due || !facts.isNewReady()) {
			return new Decision(stage, "");
		}
		return new Decision(stage.next(RolloutPhase.COMPLETED, 1, Long.MAX_VALUE),
				facts.isOldIdle() ? "all requests of the old version have ended" : "the deadline is near");
	}

	private static Decision share(RolloutOrder order, RolloutStage stage, Facts facts, ExposureBounds bounds,
			long endMillis) {
		long elapsed = facts.nowMillis() - stage.startMillis();
		long sampleEnd = Math.round(SAMPLE_END * order.deadlineMillis());
		boolean sampling = elapsed < sampleEnd;
		RolloutPhase phase = (sampling || !facts.isNewReady()) ? RolloutPhase.SAMPLE : RolloutPhase.LOAD;
		long phaseEnd = (sampling) ? sampleEnd : order.deadlineMillis() - endMillis;
		double perMilli = (double) facts.evidence().requests() / Math.max(1, elapsed);
		double ahead = perMilli * Math.max(MIN_AHEAD_MILLIS, phaseEnd - elapsed);
		double budget = ((sampling) ? SAMPLE_SPENDING : LOAD_SPENDING)
				* bounds.allowed(facts.evidence().requests() + ahead);
		double left = budget - facts.evidence().sentNew();
		double share = (left <= 0) ? 0 : Math.max(MIN_SHARE, Math.min(MAX_SHARE, left / Math.max(ahead, 1)));
		boolean early = elapsed < SHARE_INTERVAL * order.deadlineMillis() && left > 0;
		boolean due = phase.compareTo(stage.phase()) > 0 || share == 0 && stage.share() > 0
				|| facts.nowMillis() > stage.untilMillis() - SHARE_VALID_MILLIS
						+ SHARE_INTERVAL * order.deadlineMillis() && isOtherShare(share, stage.share())
				|| facts.nowMillis() > stage.untilMillis() - SHARE_VALID_MILLIS / 2;
		if (early || !due) {
			return new Decision(stage, "");
		}
		RolloutPhase next = (phase.compareTo(stage.phase()) > 0) ? phase : stage.phase();
		return new Decision(stage.next(next, share, facts.nowMillis() + SHARE_VALID_MILLIS),
				facts.evidence().all(true).answers() + " responses without a fault");
	}

	private static boolean isOtherShare(double share, double current) {
		return share > SHARE_CHANGE * current || current > SHARE_CHANGE * share;
	}

	/**
	 * What a VM knows about a rollout.
	 *
	 * @param nowMillis time of the store
	 * @param isNewReady whether the new version has endpoints of all roles that the old
	 * one has, and enough capacity for all requests
	 * @param isOldIdle whether no VM has a running request of the old version
	 * @param oldVersions versions of the other endpoints of the service
	 * @param evidence evidence of all VMs
	 * @author banyanstile contributors
	 */
	public record Facts(long nowMillis, boolean isNewReady, boolean isOldIdle, Set<String> oldVersions,
			FleetEvidence evidence) {

	}

	/**
	 * A decision on the stage.
	 *
	 * @param stage the stage that is due
	 * @param reason why, for the log
	 * @author banyanstile contributors
	 */
	public record Decision(RolloutStage stage, String reason) {

	}

}
