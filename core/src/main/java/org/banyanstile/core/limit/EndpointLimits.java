package org.banyanstile.core.limit;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Request limits that endpoints in need name in their responses. The latest response
 * counts. Safe for use by several threads.
 *
 * @author banyanstile contributors
 */
public final class EndpointLimits {

	/**
	 * Limit of an endpoint that named none.
	 */
	public static final double UNLIMITED = -1;

	/**
	 * Time after which a limit counts as ended if no response repeated it.
	 */
	static final long FORGET_NANOS = TimeUnit.SECONDS.toNanos(30);

	static final int MAX_ENDPOINTS = 4096;

	private final Map<String, Limit> limits = new HashMap<>();

	/**
	 * Records the limit that an endpoint named in a response.
	 * @param endpoint id of the endpoint
	 * @param perSecond the limit, {@link #UNLIMITED} if it named none
	 * @param now the current time in nanoseconds
	 * @return whether the limit differs from the one known before
	 */
	public synchronized boolean named(String endpoint, double perSecond, long now) {
		return update(endpoint, perSecond, now, now);
	}

	private boolean update(String endpoint, double perSecond, long namedAt, long now) {
		Limit known = this.limits.get(endpoint);
		if ((known == null && perSecond < 0) || (known != null && namedAt - known.namedAt <= 0)) {
			return false;
		}
		if (known == null) {
			known = new Limit();
			makeRoom(now);
			this.limits.put(endpoint, known);
		}
		boolean changed = known.perSecond != perSecond;
		known.perSecond = perSecond;
		known.namedAt = namedAt;
		return changed;
	}

	private void makeRoom(long now) {
		this.limits.values().removeIf((limit) -> now - limit.namedAt >= FORGET_NANOS);
		if (this.limits.size() >= MAX_ENDPOINTS) {
			this.limits.values().removeIf((limit) -> limit.perSecond < 0);
		}
		if (this.limits.size() >= MAX_ENDPOINTS) {
			this.limits.remove(this.limits.keySet().iterator().next());
		}
	}

	/**
	 * Returns the limit of an endpoint.
	 * @param endpoint id of the endpoint
	 * @param now the current time in nanoseconds
	 * @return the requests a second from all VMs, {@link #UNLIMITED} if it has no limit
	 */
	public synchronized double perSecond(String endpoint, long now) {
		Limit limit = this.limits.get(endpoint);
		return (limit != null && limit.isInForce(now)) ? limit.perSecond : UNLIMITED;
	}

	/**
	 * Limit of one endpoint.
	 *
	 * @author banyanstile contributors
	 */
	private static final class Limit {

		private double perSecond = UNLIMITED;

		private long namedAt;

		private boolean isInForce(long now) {
			return this.perSecond >= 0 && now - this.namedAt < FORGET_NANOS;
		}

	}

}
