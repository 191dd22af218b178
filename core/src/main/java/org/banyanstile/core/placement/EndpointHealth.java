package org.banyanstile.core.placement;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Health of endpoints, measured by the requests of this VM. An endpoint that cannot be
 * reached is avoided for a time that grows with each failed attempt. An endpoint that
 * fails or is slow has a higher cost than others. Safe for use by several threads.
 *
 * @author banyanstile contributors
 */
public final class EndpointHealth {

	/**
	 * First pause after an endpoint was unreachable. About the time that a process takes
	 * to start.
	 */
	static final long FIRST_PAUSE_NANOS = 300_000_000L;

	/**
	 * Longest pause, below the three heartbeats after which the platform removes an
	 * endpoint.
	 */
	static final long MAX_PAUSE_NANOS = 2_400_000_000L;

	/**
	 * First pause after an endpoint was full. A VM of a large fleet sends an endpoint
	 * less than one request a second, so a shorter pause would spare it nothing.
	 */
	static final long FIRST_FULL_PAUSE_NANOS = 1_000_000_000L;

	/**
	 * Longest pause after an endpoint was full, for one that stalls.
	 */
	static final long MAX_FULL_PAUSE_NANOS = 4_000_000_000L;

	/**
	 * Longest wait that an endpoint can ask for, longer than it takes to restart it.
	 */
	static final long MAX_WAIT_NANOS = 300_000_000_000L;

	/**
	 * Weight of the newest request in the moving averages. Ten requests replace most of
	 * the old average.
	 */
	static final double NEWEST_WEIGHT = 0.2;

	private final Map<String, State> states = new HashMap<>();

	/**
	 * Records a response.
	 * @param endpoint id of the endpoint
	 * @param millis time to the response
	 * @param failed whether the response was a failure of the endpoint
	 * @param now the current time in nanoseconds
	 */
	public synchronized void answered(String endpoint, long millis, boolean failed, long now) {
		State state = state(endpoint, now);
		state.unreachable = 0;
		state.pausedUntil = Long.MIN_VALUE;
		state.retryAt = Long.MIN_VALUE;
		if (now >= state.fullUntil) {
			state.fullCount = 0;
		}
		state.failureRate += NEWEST_WEIGHT * ((failed ? 1 : 0) - state.failureRate);
		state.millis = (state.millis == 0) ? millis : state.millis + NEWEST_WEIGHT * (millis - state.millis);
	}

	/**
	 * Records that an endpoint could not be reached, or closed the connection without a
	 * response.
	 * @param endpoint id of the endpoint
	 * @param now the current time in nanoseconds
	 */
	public synchronized void unreachable(String endpoint, long now) {
		State state = state(endpoint, now);
		long pause = Math.min(FIRST_PAUSE_NANOS << Math.min(state.unreachable, 4), MAX_PAUSE_NANOS);
		state.unreachable++;
		state.failureRate += NEWEST_WEIGHT * (1 - state.failureRate);
		state.pausedUntil = now + pause;
		state.retryAt = now + FIRST_PAUSE_NANOS;
	}

	/**
	 * Records that an endpoint refused a request before it ran. A pause of
	 * {@link #FIRST_PAUSE_NANOS} keeps queued requests from being sent to an endpoint
	 * that is full or changes its role.
	 * @param endpoint id of the endpoint
	 * @param now the current time in nanoseconds
	 */
	public synchronized void refused(String endpoint, long now) {
		State state = state(endpoint, now);
		state.pausedUntil = Math.max(state.pausedUntil, now + FIRST_PAUSE_NANOS);
		state.retryAt = now + FIRST_PAUSE_NANOS;
	}

	/**
	 * Records that an endpoint of a plain service refused a request since it was full.
	 * This is for a fleet of many VMs, whose reports of the load are older than a burst:
	 * every VM that is refused leaves the endpoint to the others for a time that grows
	 * with each refusal. A response to a request that was sent earlier does not end it.
	 * @param endpoint id of the endpoint
	 * @param now the current time in nanoseconds
	 */
	public synchronized void full(String endpoint, long now) {
		State state = state(endpoint, now);
		long pause = Math.min(FIRST_FULL_PAUSE_NANOS << Math.min(state.fullCount, 2), MAX_FULL_PAUSE_NANOS);
		state.fullCount++;
		state.fullUntil = now + pause;
	}

	/**
	 * Records that another instance responds at the address of an endpoint.
	 * @param endpoint id of the endpoint
	 * @param now the current time in nanoseconds
	 */
	public synchronized void replaced(String endpoint, long now) {
		State state = state(endpoint, now);
		state.pausedUntil = now + 2 * MAX_PAUSE_NANOS;
		state.retryAt = state.pausedUntil;
	}

	/**
	 * Records that an endpoint asked this VM to send it nothing for some time. Unlike a
	 * pause, this holds also if no other endpoint is usable.
	 * @param endpoint id of the endpoint
	 * @param millis the time in milliseconds
	 * @param now the current time in nanoseconds
	 * @return whether it had not asked for that before
	 */
	public synchronized boolean askedToWait(String endpoint, long millis, long now) {
		State state = state(endpoint, now);
		boolean isNew = now >= state.waitUntil;
		long nanos = Math.min(MAX_WAIT_NANOS, TimeUnit.MILLISECONDS.toNanos(millis));
		state.waitUntil = Math.max(state.waitUntil, now + nanos);
		return isNew;
	}

	/**
	 * Returns whether an endpoint has asked to get nothing now.
	 * @param endpoint id of the endpoint
	 * @param now the current time in nanoseconds
	 * @return whether it has
	 */
	public synchronized boolean isWaitAsked(String endpoint, long now) {
		State state = this.states.get(endpoint);
		return state != null && now < state.waitUntil;
	}

	/**
	 * Returns whether an endpoint may get requests.
	 * @param endpoint id of the endpoint
	 * @param now the current time in nanoseconds
	 * @return whether it may
	 */
	public synchronized boolean isUsable(String endpoint, long now) {
		State state = this.states.get(endpoint);
		return state == null || (now >= state.pausedUntil && now >= state.fullUntil);
	}

	/**
	 * Returns whether an endpoint may get a request if none is usable. Requests then wait
	 * for the first pause only, since longer ones serve to prefer other endpoints.
	 * @param endpoint id of the endpoint
	 * @param now the current time in nanoseconds
	 * @return whether it may
	 */
	public synchronized boolean isUsableAsLast(String endpoint, long now) {
		State state = this.states.get(endpoint);
		return state == null || (now >= state.retryAt && now >= state.fullUntil);
	}

	/**
	 * Returns the expected cost of a request at an endpoint, relative to other endpoints.
	 * @param endpoint id of the endpoint
	 * @param typicalMillis typical response time, for an endpoint that has not responded
	 * yet
	 * @return the cost, above 0
	 */
	public synchronized double cost(String endpoint, double typicalMillis) {
		State state = this.states.get(endpoint);
		if (state == null) {
			return typicalMillis;
		}
		double millis = (state.millis > 0) ? state.millis : typicalMillis;
		return Math.max(1, millis) / Math.max(0.05, 1 - state.failureRate);
	}

	private State state(String endpoint, long now) {
		if (this.states.size() > 4096) {
			this.states.values().removeIf((state) -> now - state.usedAt > 60_000_000_000L && now >= state.waitUntil);
		}
		State state = this.states.computeIfAbsent(endpoint, (id) -> new State());
		state.usedAt = now;
		return state;
	}

	/**
	 * State of one endpoint.
	 *
	 * @author banyanstile contributors
	 */
	private static final class State {

		private double failureRate;

		private double millis;

		private int unreachable;

		private long pausedUntil = Long.MIN_VALUE;

		private long retryAt = Long.MIN_VALUE;

		private long waitUntil = Long.MIN_VALUE;

		private int fullCount;

		private long fullUntil = Long.MIN_VALUE;

		private long usedAt;

	}

}
