package org.banyanstile.config;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * Phases of a generation that an engine performs.
 *
 * @author banyanstile contributors
 */
public enum EndpointRole {

	/**
	 * Computes the KV cache of prompts.
	 */
	@JsonProperty("prefill")
	PREFILL,

	/**
	 * Generates tokens from an imported KV cache.
	 */
	@JsonProperty("decode")
	DECODE,

	/**
	 * Prefill and decode.
	 */
	@JsonProperty("both")
	BOTH

}
