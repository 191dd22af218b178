package org.banyanstile.core.canary;

import java.util.Map;

import org.jspecify.annotations.Nullable;

/**
 * Compares the new version of a service with the old one, on each route and on all
 * together. Failures, broken responses and slow responses are each compared with those
 * that the old version has at the same time, so that a disruption which concerns both
 * versions does not roll back the new one. This matters on small shares of traffic, where
 * few responses decide.
 *
 * @author banyanstile contributors
 */
public final class VersionJudgement {

	private static final double DEVIATIONS = 3;

	/**
	 * Share of failures that the new version may have although the old one has none.
	 */
	private static final double FAILURE_TOLERANCE = 0.02;

	/**
	 * The same for broken responses. One crash of an endpoint breaks all responses that
	 * it is sending.
	 */
	private static final double BROKEN_TOLERANCE = 0.1;

	private static final int MIN_FAILURES = 3;

	private static final int MIN_BROKEN = 6;

	private static final int MIN_SLOW = 4;

	private static final double SLOW_TOLERANCE = 0.06;

	private static final double OLD_QUANTILE = 0.95;

	private static final double SLOW_FACTOR = 1.7;

	/**
	 * Delay below which no caller notices a slow response, whatever the usual time.
	 */
	private static final long MIN_DELAY_MILLIS = 20;

	/**
	 * Samples of the old version without which times are not compared.
	 */
	private static final int MIN_OLD_TIMES = 15;

	/**
	 * Samples of the new version that a route needs before the version gets all traffic.
	 */
	private static final int MIN_ROUTE_ANSWERS = 4;

	/**
	 * Failures on a route from which the version is suspected, so that it does not get
	 * all traffic before more responses have decided.
	 */
	private static final int SUSPICIOUS_FAILURES = 2;

	private static final int MIN_ANSWERS = 10;

	/**
	 * Requests of a route without which it need not have samples of its own.
	 */
	private static final int MIN_ROUTE_TRAFFIC = 20;

	private VersionJudgement() {
	}

	/**
	 * Returns why the new version is bad.
	 * @param evidence the evidence of all VMs
	 * @return the reason, or {@code null} if there is no evidence that it is bad
	 */
	public static @Nullable String fault(FleetEvidence evidence) {
		Map<String, RouteEvidence> old = evidence.byRoute(false);
		String fault = fault(evidence.all(true), evidence.all(false), false);
		for (RouteEvidence route : evidence.byRoute(true).values()) {
			fault = (fault != null) ? fault
					: fault(route, old.getOrDefault(route.route(), RouteEvidence.none(route.route(), false)), true);
		}
		return fault;
	}

	private static @Nullable String fault(RouteEvidence next, RouteEvidence old, boolean times) {
		if (exceeds(next.failures(), next.answers(), MIN_FAILURES, share(old.failures(), old, FAILURE_TOLERANCE))) {
			return next.failures() + " of " + next.answers() + " responses failed on " + next.route();
		}
		if (exceeds(next.broken(), next.answers(), MIN_BROKEN, share(old.broken(), old, BROKEN_TOLERANCE))) {
			return next.broken() + " of " + next.answers() + " responses broke off on " + next.route();
		}
		if (times && (isSlow(next.firsts(), old.firsts()) || isSlow(next.totals(), old.totals()))) {
			return "responses are several times slower on " + next.route();
		}
		return null;
	}

	private static double share(int count, RouteEvidence old, double tolerance) {
		return Math.max(tolerance, (old.answers() > 0) ? 1.5 * count / old.answers() : 0);
	}

	private static boolean exceeds(int count, int total, int min, double share) {
		double expected = share * total;
		return count >= min && count > expected + DEVIATIONS * Math.sqrt(expected);
	}

	private static boolean isSlow(TimeCounts next, TimeCounts old) {
		if (old.total() < MIN_OLD_TIMES) {
			return false;
		}
		long usual = old.quantileMillis(OLD_QUANTILE);
		long limit = Math.max(Math.round(SLOW_FACTOR * usual), usual + MIN_DELAY_MILLIS);
		return exceeds(next.above(limit), next.total(), MIN_SLOW, SLOW_TOLERANCE);
	}

	/**
	 * Returns whether there is enough evidence to give all traffic to a version that has
	 * no known fault.
	 * @param evidence the evidence of all VMs
	 * @return whether all routes with traffic have samples
	 */
	public static boolean isSufficient(FleetEvidence evidence) {
		Map<String, RouteEvidence> next = evidence.byRoute(true);
		boolean routes = evidence.byRoute(false)
			.values()
			.stream()
			.filter((old) -> old.answers() >= MIN_ROUTE_TRAFFIC)
			.allMatch((old) -> next.containsKey(old.route()) && next.get(old.route()).answers() >= MIN_ROUTE_ANSWERS);
		Map<String, RouteEvidence> old = evidence.byRoute(false);
		boolean suspected = next.values()
			.stream()
			.anyMatch((route) -> isSuspected(route,
					old.getOrDefault(route.route(), RouteEvidence.none(route.route(), false))));
		return routes && !suspected && evidence.all(true).answers() >= MIN_ANSWERS;
	}

	private static boolean isSuspected(RouteEvidence next, RouteEvidence old) {
		return next.failures() >= SUSPICIOUS_FAILURES
				&& next.failures() > DEVIATIONS * share(old.failures(), old, FAILURE_TOLERANCE) * next.answers();
	}

}
