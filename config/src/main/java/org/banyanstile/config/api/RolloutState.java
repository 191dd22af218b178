package org.banyanstile.config.api;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * Progress of a version of the configuration.
 *
 * @author banyanstile contributors
 */
public enum RolloutState {

	/**
	 * No configuration was ever stored.
	 */
	@JsonProperty("none")
	NONE,

	/**
	 * Durable, but a VM may still use an earlier version.
	 */
	@JsonProperty("stored")
	STORED,

	/**
	 * Applied on each VM that serves requests; never reverted.
	 */
	@JsonProperty("accepted")
	ACCEPTED

}
