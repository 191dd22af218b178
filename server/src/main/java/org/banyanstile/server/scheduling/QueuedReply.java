package org.banyanstile.server.scheduling;

/**
 * Acknowledgement of a request that waits.
 *
 * @param vm the scheduler
 * @param group the group of engines
 * @param requestId id of the request
 * @param waitMillis expected time until it is placed
 * @author banyanstile contributors
 */
record QueuedReply(String vm, EngineGroup group, String requestId, long waitMillis) implements SchedulerReply {

}
