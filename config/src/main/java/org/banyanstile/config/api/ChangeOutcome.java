package org.banyanstile.config.api;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * Outcome of a request to replace the configuration.
 *
 * @author banyanstile contributors
 */
public enum ChangeOutcome {

	/**
	 * Durable and in force on each VM that serves.
	 */
	@JsonProperty("accepted")
	ACCEPTED,

	/**
	 * Durable, but not yet known to be in force on each VM.
	 */
	@JsonProperty("stored")
	STORED,

	/**
	 * Not stored, because another version than the named one was current.
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
	 * May have been stored; read the version back to find out.
	 */
	@JsonProperty("unknown")
	UNKNOWN

}
