package org.banyanstile.core.routing;

/**
 * Load that an endpoint reported some time ago.
 *
 * @param active the running requests
 * @param capacity the capacity
 * @param cold whether the endpoint says that it is in cold start
 * @param measuredNanos the time of the measurement, on the clock of this VM
 * @author banyanstile contributors
 */
public record LoadReport(int active, int capacity, boolean cold, long measuredNanos) {
}
