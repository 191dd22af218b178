package org.banyanstile.server.gossip;

import java.util.List;

/**
 * Outcomes of the requests of one version on one route.
 *
 * @param route name of the route
 * @param newVersion whether the new version served them
 * @param answers requests that ended
 * @param failures error responses among them
 * @param broken responses among them that broke off
 * @param firsts histogram of the times to the first byte or event
 * @param totals histogram of the times to the end
 * @author banyanstile contributors
 */
public record GossipRouteOutcomes(String route, boolean newVersion, int answers, int failures, int broken,
		List<Integer> firsts, List<Integer> totals) {

}
