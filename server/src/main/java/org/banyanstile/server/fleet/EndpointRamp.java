package org.banyanstile.server.fleet;

/**
 * Number of slots that an endpoint may use: one after an error or while it is cold,
 * doubled after every four completed requests, up to its capacity. Not safe for use by
 * several threads.
 *
 * @author banyanstile contributors
 */
final class EndpointRamp {

	private static final int REQUESTS_A_STEP = 4;

	private int limit = Integer.MAX_VALUE;

	private int completed;

	void reset() {
		this.limit = 1;
		this.completed = 0;
	}

	void completed() {
		if (this.limit == Integer.MAX_VALUE) {
			return;
		}
		this.completed++;
		if (this.completed == REQUESTS_A_STEP) {
			this.completed = 0;
			this.limit = (this.limit > Integer.MAX_VALUE / 2) ? Integer.MAX_VALUE : this.limit * 2;
		}
	}

	int slots(int capacity) {
		return Math.min(capacity, this.limit);
	}

}
