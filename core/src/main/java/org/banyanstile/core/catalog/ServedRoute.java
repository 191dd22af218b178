package org.banyanstile.core.catalog;

import java.util.List;

/**
 * A route from callers to services.
 *
 * @param name name of the route
 * @param host host name that selects it
 * @param prefix path prefix that selects it, which begins and ends with a slash
 * @param kind whether a request may run more than once
 * @param timeoutMillis longest time until the final response
 * @param objectiveMillis latency objective, the time within which a response is worth
 * most
 * @param priority rank, 0 for the most urgent
 * @param services services that share its requests by weight
 * @param maxAttempts largest number of endpoints that one attempt of a caller may run on
 * @param anonymous whether a request needs no API key
 * @param resumable whether a stream may fail over to another endpoint
 * @param maxPauseMillis longest pause between events of a stream that is on time, 0 if
 * not given
 * @author banyanstile contributors
 */
public record ServedRoute(String name, String host, String prefix, CallKind kind, long timeoutMillis,
		long objectiveMillis, int priority, List<WeightedService> services, int maxAttempts, boolean anonymous,
		boolean resumable, long maxPauseMillis) {

	/**
	 * Returns whether a request may be retried although an earlier attempt may have run.
	 * @return whether it may
	 */
	public boolean isRetryable() {
		return this.kind == CallKind.IDEMPOTENT || (this.kind == CallKind.STREAM && this.resumable);
	}

	/**
	 * Chooses a service of the traffic split.
	 * @param point a number from 0, inclusive, to 1, exclusive
	 * @return name of the service
	 */
	public String service(double point) {
		int sum = this.services.stream().mapToInt(WeightedService::weight).sum();
		double remaining = point * sum;
		for (WeightedService branch : this.services) {
			remaining -= branch.weight();
			if (remaining < 0) {
				return branch.service();
			}
		}
		return this.services.get(this.services.size() - 1).service();
	}

}
