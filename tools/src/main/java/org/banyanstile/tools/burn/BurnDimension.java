package org.banyanstile.tools.burn;

import com.fasterxml.jackson.annotation.JsonProperty;
import org.banyanstile.config.api.BurnSeries;

/**
 * Criterion by which the counts are grouped.
 *
 * @author banyanstile contributors
 */
public enum BurnDimension {

	/**
	 * All requests together.
	 */
	@JsonProperty("fleet")
	FLEET("Fleet"),

	/**
	 * By team.
	 */
	@JsonProperty("team")
	TEAM("Team"),

	/**
	 * By model or plain service.
	 */
	@JsonProperty("route")
	ROUTE("Route"),

	/**
	 * By data centre.
	 */
	@JsonProperty("dataCentre")
	DATA_CENTRE("Data centre");

	private final String label;

	BurnDimension(String label) {
		this.label = label;
	}

	String label() {
		return this.label;
	}

	String nameOf(BurnSeries series) {
		return switch (this) {
			case FLEET -> "all";
			case TEAM -> series.team().isEmpty() ? "(open routes)" : series.team();
			case ROUTE -> series.route();
			case DATA_CENTRE -> series.dataCentre();
		};
	}

}
