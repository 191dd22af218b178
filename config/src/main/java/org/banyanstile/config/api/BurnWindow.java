package org.banyanstile.config.api;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * Window over which the use of error budget is shown. Its buckets start at multiples of
 * the bucket length in Unix time, so that buckets of several VMs can be added up.
 *
 * @author banyanstile contributors
 */
public enum BurnWindow {

	/**
	 * Five minutes.
	 */
	@JsonProperty("5m")
	FIVE_MINUTES("5 min", 300_000, 10_000),

	/**
	 * One hour.
	 */
	@JsonProperty("1h")
	ONE_HOUR("1 h", 3_600_000, 60_000),

	/**
	 * Six hours.
	 */
	@JsonProperty("6h")
	SIX_HOURS("6 h", 21_600_000, 600_000),

	/**
	 * Three days.
	 */
	@JsonProperty("3d")
	THREE_DAYS("3 days", 259_200_000, 3_600_000);

	private final String label;

	private final long millis;

	private final long bucketMillis;

	BurnWindow(String label, long millis, long bucketMillis) {
		this.label = label;
		this.millis = millis;
		this.bucketMillis = bucketMillis;
	}

	/**
	 * Returns the name for people.
	 * @return the label
	 */
	public String label() {
		return this.label;
	}

	/**
	 * Returns the length of the window.
	 * @return the length in milliseconds
	 */
	public long millis() {
		return this.millis;
	}

	/**
	 * Returns the length of a bucket.
	 * @return the length in milliseconds
	 */
	public long bucketMillis() {
		return this.bucketMillis;
	}

}
