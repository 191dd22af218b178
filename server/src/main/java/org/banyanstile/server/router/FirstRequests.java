package org.banyanstile.server.router;

import java.util.Collection;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.LongConsumer;

/**
 * Measures how long an endpoint that joins waits for its first request from this VM.
 * Endpoints that are known when the VM starts do not count. Safe for use by several
 * threads.
 *
 * @author banyanstile contributors
 */
final class FirstRequests {

	private final Map<String, Long> seenNanos = new ConcurrentHashMap<>();

	private final Set<String> known = new HashSet<>();

	private final LongConsumer waits;

	private boolean started;

	private FirstRequests(LongConsumer waits) {
		this.waits = waits;
	}

	/**
	 * Creates the measurement.
	 * @param waits receives each wait in milliseconds
	 * @return the measurement
	 */
	static FirstRequests create(LongConsumer waits) {
		return new FirstRequests(waits);
	}

	/**
	 * Sets the endpoints that may get requests.
	 * @param usable ids of the endpoints
	 * @param nowNanos current {@link System#nanoTime()}
	 */
	synchronized void update(Collection<String> usable, long nowNanos) {
		if (this.started) {
			usable.stream().filter((id) -> !this.known.contains(id)).forEach((id) -> this.seenNanos.put(id, nowNanos));
		}
		this.started |= !usable.isEmpty();
		this.known.clear();
		this.known.addAll(usable);
		this.seenNanos.keySet().retainAll(this.known);
	}

	/**
	 * A request is sent to an endpoint.
	 * @param id id of the endpoint
	 * @param nowNanos current {@link System#nanoTime()}
	 */
	void sent(String id, long nowNanos) {
		Long seen = this.seenNanos.isEmpty() ? null : this.seenNanos.remove(id);
		if (seen != null) {
			this.waits.accept((nowNanos - seen) / 1_000_000);
		}
	}

	/**
	 * Returns the number of endpoints that joined and got no request yet.
	 * @return the number
	 */
	int waiting() {
		return this.seenNanos.size();
	}

}
