package org.banyanstile.server.caller;

import io.micrometer.core.instrument.Tags;

/**
 * Labels of the counters of a request.
 *
 * @param team name of the team, or {@code -}
 * @param route name of the route
 * @param dataCentre data centre that this VM is in
 * @author banyanstile contributors
 */
public record RequestLabels(String team, String route, String dataCentre) {

	/**
	 * Returns the labels as meter tags.
	 * @return the tags
	 */
	public Tags tags() {
		return Tags.of("team", this.team, "route", this.route, "dataCentre", this.dataCentre);
	}

}
