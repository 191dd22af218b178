package org.banyanstile.core.catalog;

/**
 * Part that an endpoint plays.
 *
 * @author banyanstile contributors
 */
public enum EndpointPhase {

	/**
	 * An endpoint of a plain service.
	 */
	PLAIN,

	/**
	 * An engine that reads prompts and hands on their KV cache.
	 */
	PREFILL,

	/**
	 * An engine that generates tokens.
	 */
	DECODE

}
