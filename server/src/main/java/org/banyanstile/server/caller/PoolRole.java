package org.banyanstile.server.caller;

/**
 * Kind of work that a pool does.
 *
 * @author banyanstile contributors
 */
public enum PoolRole {

	/**
	 * Engines that compute the KV cache of a prompt.
	 */
	PREFILL,

	/**
	 * Engines that generate text.
	 */
	DECODE,

	/**
	 * Plain services.
	 */
	SERVICE

}
