package org.banyanstile.config.api;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * Window over which the use of error budget is shown. Each ends at the time of the
 * report. A high rate in the short windows indicates a sudden fault, one in the long
 * windows a lasting fault.
 *
 * @author banyanstile contributors
 */
public enum BurnWindow {

	/**
	 * Five minutes.
	 */
	@JsonProperty("5m")
	FIVE_MINUTES("5 min"),

	/**
	 * One hour.
	 */
	@JsonProperty("1h")
	ONE_HOUR("1 h"),

	/**
	 * Six hours.
	 */
	@JsonProperty("6h")
	SIX_HOURS("6 h"),

	/**
	 * Three days.
	 */
	@JsonProperty("3d")
	THREE_DAYS("3 days");

	private final String label;

	BurnWindow(String label) {
		this.label = label;
	}

	/**
	 * Returns the display name.
	 * @return the label
	 */
	public String label() {
		return this.label;
	}

}
