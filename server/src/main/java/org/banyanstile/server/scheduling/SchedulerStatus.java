package org.banyanstile.server.scheduling;

import java.util.List;

/**
 * Reply of a scheduler to a report of holdings.
 *
 * @param vm the scheduler
 * @param group the group of engines
 * @param fastest some engines that prefill fastest, the fastest first
 * @author banyanstile contributors
 */
record SchedulerStatus(String vm, EngineGroup group, List<String> fastest) {

}
