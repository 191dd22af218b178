package org.banyanstile.config.api;

import java.util.Map;

/**
 * Counts of one team, route and data centre over one window.
 *
 * @param window the window
 * @param team name of the team
 * @param route model, or name of the plain service
 * @param dataCentre data centre that served the request
 * @param requests requests that ended in the window
 * @param causes how many of them used up error budget, by cause; absent means 0
 * @author banyanstile contributors
 */
public record BurnSeries(BurnWindow window, String team, String route, String dataCentre, long requests,
		Map<BurnCause, Long> causes) {

	/**
	 * Copies the map.
	 * @param window the window
	 * @param team name of the team
	 * @param route model or plain service
	 * @param dataCentre the data centre
	 * @param requests requests that ended in the window
	 * @param causes how many of them used up error budget
	 */
	public BurnSeries {
		causes = Map.copyOf(causes);
	}

}
