package org.banyanstile.server.vm;

import org.jspecify.annotations.Nullable;

/**
 * Reply to {@link StreamLookup}.
 *
 * @param requestId identifier of the request, or {@code null} if no stream runs
 * @param endpoint name of the endpoint, or {@code null}
 * @param vm name of the serving VM, or {@code null}
 * @author banyanstile contributors
 */
public record StreamFound(@Nullable String requestId, @Nullable String endpoint, @Nullable String vm) {

}
