package org.banyanstile.server.vm;

import org.jspecify.annotations.Nullable;

/**
 * Reply to {@link StreamLookup} and {@link StreamTakeover}.
 *
 * @param requestId identifier at the engine, or {@code null} if no stream runs
 * @param endpoint name of the endpoint, or {@code null}
 * @param vm name of the VM that served the request before, or {@code null}
 * @param bodyHash SHA-256 of the body of that request, or {@code null}
 * @author banyanstile contributors
 */
public record StreamFound(@Nullable String requestId, @Nullable String endpoint, @Nullable String vm,
		@Nullable String bodyHash) {

	/**
	 * Returns the reply that no stream runs.
	 * @return the reply
	 */
	public static StreamFound none() {
		return new StreamFound(null, null, null, null);
	}

}
