package org.banyanstile.core.canary;

/**
 * Outcomes of the requests that one version served on one route.
 *
 * @param route name of the route
 * @param isNew whether the new version served them, else an old one
 * @param answers requests that were answered or broke off
 * @param failures error responses among them
 * @param broken responses among them that broke off
 * @param firsts times to the first byte or event
 * @param totals times to the end
 * @author banyanstile contributors
 */
public record RouteEvidence(String route, boolean isNew, int answers, int failures, int broken, TimeCounts firsts,
		TimeCounts totals) {

	/**
	 * Returns evidence without requests.
	 * @param route name of the route
	 * @param isNew whether it is about the new version
	 * @return the evidence
	 */
	public static RouteEvidence none(String route, boolean isNew) {
		return new RouteEvidence(route, isNew, 0, 0, 0, TimeCounts.NONE, TimeCounts.NONE);
	}

	/**
	 * Returns the sum of the evidence of two VMs or routes.
	 * @param other the other evidence
	 * @return the sum
	 */
	public RouteEvidence plus(RouteEvidence other) {
		return new RouteEvidence(this.route, this.isNew, this.answers + other.answers, this.failures + other.failures,
				this.broken + other.broken, this.firsts.plus(other.firsts), this.totals.plus(other.totals));
	}

}
