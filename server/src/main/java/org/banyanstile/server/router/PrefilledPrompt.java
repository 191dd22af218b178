package org.banyanstile.server.router;

import org.banyanstile.core.catalog.RegisteredEndpoint;

/**
 * A prompt whose KV cache a prefill engine holds.
 *
 * @param engine the engine
 * @param handle handle of the KV cache
 * @param source the cache as a decode engine is told of it
 * @param readAt {@link System#nanoTime()} when it had been read
 * @author banyanstile contributors
 */
record PrefilledPrompt(RegisteredEndpoint engine, String handle, String source, long readAt) {

	/**
	 * Part of the life of a KV cache in which it is offered to another decode engine. The
	 * rest is for the way there.
	 */
	private static final double USABLE_PART = 0.6;

	boolean isUsable(long lifeMillis, long now) {
		return now - this.readAt < USABLE_PART * lifeMillis * 1_000_000;
	}

}
