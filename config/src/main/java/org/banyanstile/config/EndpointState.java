package org.banyanstile.config;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * Whether an endpoint receives new work.
 *
 * @author banyanstile contributors
 */
public enum EndpointState {

	/**
	 * Receives new work.
	 */
	@JsonProperty("active")
	ACTIVE,

	/**
	 * Completes its running requests and receives no new work.
	 */
	@JsonProperty("leaving")
	LEAVING

}
