package org.banyanstile.config.api;

import java.util.List;

/**
 * Counts of one team, route and data centre over one window.
 *
 * @param window the window
 * @param team name of the team, empty on open routes
 * @param route model, or name of the plain service
 * @param dataCentre data centre of the endpoint, or of the VM if none was chosen
 * @param buckets buckets with at least one request, in order of time
 * @author banyanstile contributors
 */
public record BurnSeries(BurnWindow window, String team, String route, String dataCentre, List<BurnBucket> buckets) {

	/**
	 * Copies the list.
	 * @param window the window
	 * @param team name of the team
	 * @param route model or plain service
	 * @param dataCentre the data centre
	 * @param buckets the buckets
	 */
	public BurnSeries {
		buckets = List.copyOf(buckets);
	}

}
