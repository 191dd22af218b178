package org.banyanstile.server.router;

import org.banyanstile.core.catalog.RegisteredEndpoint;

/**
 * A prompt whose KV cache a prefill engine holds.
 *
 * @param engine the engine
 * @param handle handle of the KV cache
 * @param source the cache as a decode engine is told of it
 * @author banyanstile contributors
 */
record PrefilledPrompt(RegisteredEndpoint engine, String handle, String source) {

}
