package org.banyanstile.core.placement;

import java.util.HashMap;
import java.util.Map;

/**
 * Health of endpoints as this VM's own requests find it. Endpoints that cannot be reached
 * are avoided for a growing time; endpoints that fail or are slow weigh more than others.
 * Safe for use by several threads.
 *
 * @author banyanstile contributors
 */
public final class EndpointHealth {

	/**
	 * First pause after an endpoint was not reached. About the time that a process takes
	 * to start.
	 */
	static final long FIRST_PAUSE_NANOS = 300_000_000L;

	/**
	 * Longest pause, below the three heartbeats after which the platform removes an
	 * endpoint.
	 */
	static final long MAX_PAUSE_NANOS = 2_400_000_000L;

	/**
	 * Weight of the newest request in the means. Ten requests replace most of the old
	 * mean.
	 */
	static final double NEWEST = 0.2;

	private final Map<String, State> states = new HashMap<>();

	/**
	 * Notes an answer.
	 * @param endpoint id of the endpoint
	 * @param millis time to the answer
	 * @param failed whether the answer was a failure of the endpoint
	 * @param now the current time in nanoseconds
	 */
	public synchronized void answered(String endpoint, long millis, boolean failed, long now) {
		State state = state(endpoint, now);
		state.unreachable = 0;
		state.pausedUntil = Long.MIN_VALUE;
		state.failures += NEWEST * ((failed ? 1 : 0) - state.failures);
		state.millis = (state.millis == 0) ? millis : state.millis + NEWEST * (millis - state.millis);
	}

	/**
	 * Notes that an endpoint was not reached, or broke off without an answer.
	 * @param endpoint id of the endpoint
	 * @param now the current time in nanoseconds
	 */
	public synchronized void unreachable(String endpoint, long now) {
		State state = state(endpoint, now);
		long pause = Math.min(FIRST_PAUSE_NANOS << Math.min(state.unreachable, 4), MAX_PAUSE_NANOS);
		state.unreachable++;
		state.failures += NEWEST * (1 - state.failures);
		state.pausedUntil = now + pause;
	}

	/**
	 * Notes that an endpoint refused a request before it ran. A pause of the length of
	 * the first one keeps a line of requests from asking a full or changing endpoint in
	 * vain.
	 * @param endpoint id of the endpoint
	 * @param now the current time in nanoseconds
	 */
	public synchronized void refused(String endpoint, long now) {
		State state = state(endpoint, now);
		state.pausedUntil = Math.max(state.pausedUntil, now + FIRST_PAUSE_NANOS);
	}

	/**
	 * Notes that another instance answers at the address of an endpoint.
	 * @param endpoint id of the endpoint
	 * @param now the current time in nanoseconds
	 */
	public synchronized void replaced(String endpoint, long now) {
		state(endpoint, now).pausedUntil = now + 2 * MAX_PAUSE_NANOS;
	}

	/**
	 * Returns whether an endpoint may get requests.
	 * @param endpoint id of the endpoint
	 * @param now the current time in nanoseconds
	 * @return whether it may
	 */
	public synchronized boolean isUsable(String endpoint, long now) {
		State state = this.states.get(endpoint);
		return state == null || now >= state.pausedUntil;
	}

	/**
	 * Returns how much a request at an endpoint is expected to cost, relative to others.
	 * @param endpoint id of the endpoint
	 * @param typicalMillis typical time to an answer, for an endpoint without one
	 * @return the cost, above 0
	 */
	public synchronized double cost(String endpoint, double typicalMillis) {
		State state = this.states.get(endpoint);
		if (state == null) {
			return typicalMillis;
		}
		double millis = (state.millis > 0) ? state.millis : typicalMillis;
		return Math.max(1, millis) / Math.max(0.05, 1 - state.failures);
	}

	private State state(String endpoint, long now) {
		if (this.states.size() > 4096) {
			this.states.values().removeIf((state) -> now - state.used > 60_000_000_000L);
		}
		State state = this.states.computeIfAbsent(endpoint, (id) -> new State());
		state.used = now;
		return state;
	}

	/**
	 * State of one endpoint.
	 *
	 * @author banyanstile contributors
	 */
	private static final class State {

		private double failures;

		private double millis;

		private int unreachable;

		private long pausedUntil = Long.MIN_VALUE;

		private long used;

	}

}
