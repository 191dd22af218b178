package org.banyanstile.server.scheduling;

/**
 * Reply of a scheduler that cannot place a request in time.
 *
 * @param vm the scheduler
 * @param group the group of engines
 * @param requestId id of the request
 * @param retryAfterMillis time after which the caller may retry
 * @author banyanstile contributors
 */
record RefusedReply(String vm, EngineGroup group, String requestId, long retryAfterMillis) implements SchedulerReply {

}
