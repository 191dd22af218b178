package org.banyanstile.core.scheduling;

/**
 * Refusal of a request that cannot be served in time.
 *
 * @param requestId id of the request
 * @param vm VM that serves the request
 * @param retryAfterMillis time after which memory is expected to be free for it
 * @author banyanstile contributors
 */
public record SchedulingRefusal(String requestId, String vm, long retryAfterMillis) implements SchedulingDecision {

}
