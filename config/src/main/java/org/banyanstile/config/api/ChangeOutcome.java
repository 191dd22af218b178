package org.banyanstile.config.api;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * Outcome of a request to replace the configuration.
 *
 * @author banyanstile contributors
 */
public enum ChangeOutcome {

	/**
	 * Durable and applied on each VM that serves requests.
	 */
	@JsonProperty("accepted")
	ACCEPTED,

	/**
	 * Durable, but not yet known to be applied on each VM.
	 */
	@JsonProperty("stored")
	STORED,

	/**
	 * Not stored, because the current version was not the one to be replaced.
	 */
	@JsonProperty("conflict")
	CONFLICT,

	/**
	 * Not stored, because the configuration is not valid.
	 */
	@JsonProperty("invalid")
	INVALID,

	/**
	 * Not stored, because the table service could not be used.
	 */
	@JsonProperty("unavailable")
	UNAVAILABLE,

	/**
	 * May have been stored. The caller must read the version back to find out.
	 */
	@JsonProperty("unknown")
	UNKNOWN

}
