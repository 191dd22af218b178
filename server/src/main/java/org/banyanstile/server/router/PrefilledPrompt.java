package org.banyanstile.server.router;

import org.banyanstile.core.catalog.RegisteredEndpoint;

/**
 * Prompt whose KV cache is held by a prefill engine.
 *
 * @param engine the engine
 * @param handle handle of the KV cache
 * @param cacheSource location of the KV cache as sent to a decode engine
 * @param prefilledAtNanos {@link System#nanoTime()} at the end of the prefill
 * @author banyanstile contributors
 */
record PrefilledPrompt(RegisteredEndpoint engine, String handle, String cacheSource, long prefilledAtNanos) {

	/**
	 * Fraction of the lifetime of a KV cache during which it is offered to another decode
	 * engine. The rest is for the transfer.
	 */
	private static final double USABLE_LIFETIME_RATIO = 0.6;

	boolean isUsable(long lifetimeMillis, long now) {
		return now - this.prefilledAtNanos < USABLE_LIFETIME_RATIO * lifetimeMillis * 1_000_000;
	}

}
