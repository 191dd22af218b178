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
	 * Durable, but some VM may still serve an earlier version.
	 */
	@JsonProperty("stored")
	STORED,

	/**
	 * In force on each VM that serves; never reverted.
	 */
	@JsonProperty("accepted")
	ACCEPTED

}
