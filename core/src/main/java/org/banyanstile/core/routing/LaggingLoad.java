package org.banyanstile.core.routing;

import java.util.HashMap;
import java.util.Map;

import org.banyanstile.core.common.EndpointId;
import org.jspecify.annotations.Nullable;

/**
 * Load of endpoints as estimated by one VM from the last load reports and its own
 * requests. Safe for use by several threads.
 *
 * @author banyanstile contributors
 */
public final class LaggingLoad {

	private final Object lock = new Object();

	private final Map<EndpointId, State> states = new HashMap<>();

	/**
	 * Records a load report.
	 * @param endpoint the endpoint
	 * @param report the report, ignored if it is older than the last report
	 */
	public void reported(EndpointId endpoint, LoadReport report) {
		synchronized (this.lock) {
			State state = state(endpoint);
			if (state.report == null || report.measuredNanos() >= state.report.measuredNanos()) {
				state.report = report;
				state.startedSince = 0;
			}
		}
	}

	/**
	 * Records the start of a request of this VM.
	 * @param endpoint the endpoint
	 */
	public void started(EndpointId endpoint) {
		synchronized (this.lock) {
			State state = state(endpoint);
			state.own++;
			state.startedSince++;
		}
	}

	/**
	 * Records the end of a request of this VM.
	 * @param endpoint the endpoint
	 */
	public void ended(EndpointId endpoint) {
		synchronized (this.lock) {
			State state = state(endpoint);
			state.own = Math.max(0, state.own - 1);
		}
	}

	/**
	 * Returns the number of running requests of this VM.
	 * @param endpoint the endpoint
	 * @return the number
	 */
	public int own(EndpointId endpoint) {
		synchronized (this.lock) {
			return state(endpoint).own;
		}
	}

	/**
	 * Returns the estimated number of running requests of all VMs.
	 * @param endpoint the endpoint
	 * @return the requests of the last report and those that this VM started since, or
	 * all requests of this VM if these are more
	 */
	public int estimate(EndpointId endpoint) {
		synchronized (this.lock) {
			State state = state(endpoint);
			int reported = (state.report != null) ? state.report.active() : 0;
			return Math.max(state.own, reported + state.startedSince);
		}
	}

	/**
	 * Removes an endpoint that is no longer configured.
	 * @param endpoint the endpoint
	 */
	public void removed(EndpointId endpoint) {
		synchronized (this.lock) {
			this.states.remove(endpoint);
		}
	}

	private State state(EndpointId endpoint) {
		return this.states.computeIfAbsent(endpoint, (id) -> new State());
	}

	private static final class State {

		private @Nullable LoadReport report;

		private int own;

		private int startedSince;

	}

}
