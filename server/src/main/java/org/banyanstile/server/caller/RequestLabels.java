package org.banyanstile.server.caller;

import io.micrometer.core.instrument.Tags;
import org.banyanstile.core.burn.BurnCounters;
import org.banyanstile.core.burn.BurnKey;
import org.banyanstile.core.common.DataCentreId;
import org.banyanstile.core.common.TeamId;

/**
 * Labels of the metrics of a request.
 *
 * @param team name of the team, or {@code -}
 * @param route name of the route
 * @param dataCentre data centre that this VM is in
 * @author banyanstile contributors
 */
public record RequestLabels(String team, String route, String dataCentre) {

	/**
	 * Team of a request on an open route.
	 */
	static final String NO_TEAM = "-";

	/**
	 * Returns the error-budget series that the request counts in.
	 * @return the series; requests without a team share one
	 */
	BurnKey burnKey() {
		return this.team.equals(NO_TEAM) ? BurnCounters.OTHER
				: new BurnKey(TeamId.of(this.team), this.route, DataCentreId.of(this.dataCentre));
	}

	/**
	 * Returns the labels as meter tags.
	 * @return the tags
	 */
	public Tags tags() {
		return Tags.of("team", this.team, "route", this.route, "dataCentre", this.dataCentre);
	}

}
