package org.banyanstile.server.router;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

import org.banyanstile.core.common.QuantileEstimate;

/**
 * How long the requests of each service take until their response is complete.
 *
 * @author banyanstile contributors
 */
final class ServiceDurations {

	/**
	 * Share of the requests that take no longer than the likely duration.
	 */
	private static final double LIKELY = 0.95;

	private final Map<String, QuantileEstimate> estimates = new ConcurrentHashMap<>();

	void record(String service, long millis) {
		this.estimates.computeIfAbsent(service, (name) -> QuantileEstimate.of(LIKELY)).add(millis);
	}

	/**
	 * Returns the time in which a request probably completes.
	 * @param service name of the service
	 * @return the time in milliseconds, {@link Long#MAX_VALUE} if none has completed yet
	 */
	long likelyMillis(String service) {
		QuantileEstimate estimate = this.estimates.get(service);
		return (estimate != null) ? (long) estimate.get() : Long.MAX_VALUE;
	}

}
