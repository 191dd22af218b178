package org.banyanstile.server.vm;

import org.jspecify.annotations.Nullable;

/**
 * Reply to {@link SlotRequest}: an endpoint or a refusal.
 *
 * @param endpoint name of the endpoint, or {@code null} for a refusal
 * @param validMillis time for which the slot is held without renewal
 * @param refusal reason of the refusal, or {@code null}
 * @param retryAfterMillis time after which a retry can succeed
 * @author banyanstile contributors
 */
public record SlotReply(@Nullable String endpoint, long validMillis, @Nullable String refusal, long retryAfterMillis) {

}
