package org.banyanstile.config;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * Whether a key is accepted.
 *
 * @author banyanstile contributors
 */
public enum KeyState {

	/**
	 * Accepted.
	 */
	@JsonProperty("active")
	ACTIVE,

	/**
	 * Rejected. Its running streams end when the configuration is applied.
	 */
	@JsonProperty("withdrawn")
	WITHDRAWN

}
