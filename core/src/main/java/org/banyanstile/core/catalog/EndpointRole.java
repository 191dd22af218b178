package org.banyanstile.core.catalog;

/**
 * Role of an endpoint.
 *
 * @author banyanstile contributors
 */
public enum EndpointRole {

	/**
	 * An endpoint of a plain service.
	 */
	PLAIN,

	/**
	 * An engine that processes prompts and provides their KV cache to decode engines.
	 */
	PREFILL,

	/**
	 * An engine that generates tokens.
	 */
	DECODE

}
