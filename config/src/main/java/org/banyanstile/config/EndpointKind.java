package org.banyanstile.config;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * Kind of program at an endpoint.
 *
 * @author banyanstile contributors
 */
public enum EndpointKind {

	/**
	 * Language-model engine.
	 */
	@JsonProperty("engine")
	ENGINE,

	/**
	 * Plain service.
	 */
	@JsonProperty("service")
	SERVICE

}
