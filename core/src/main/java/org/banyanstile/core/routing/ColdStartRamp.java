package org.banyanstile.core.routing;

/**
 * Limit of concurrent requests at an endpoint in cold start, over all VMs. Not safe for
 * use by several threads.
 *
 * @author banyanstile contributors
 */
public final class ColdStartRamp {

	private static final int COMPLETIONS_PER_STEP = 4;

	private final int capacity;

	private int allowed;

	private int completions;

	private ColdStartRamp(int capacity, int allowed) {
		this.capacity = capacity;
		this.allowed = allowed;
	}

	/**
	 * Creates the ramp of a warm endpoint.
	 * @param capacity the capacity of the endpoint
	 * @return the ramp
	 */
	public static ColdStartRamp warm(int capacity) {
		return new ColdStartRamp(capacity, capacity);
	}

	/**
	 * Returns the number of requests allowed at the same time.
	 * @return the number, from 1 to the capacity
	 */
	public int allowed() {
		return this.allowed;
	}

	/**
	 * Returns whether the endpoint is in cold start.
	 * @return true if the ramp has not reached the capacity
	 */
	public boolean isCold() {
		return this.allowed < this.capacity;
	}

	/**
	 * Starts the ramp unless it is already running.
	 */
	public void coldDetected() {
		if (!isCold()) {
			failed();
		}
	}

	/**
	 * Records a request that failed at the endpoint, which restarts the ramp.
	 */
	public void failed() {
		this.allowed = Math.min(1, this.capacity);
		this.completions = 0;
	}

	/**
	 * Records a request that completed in time.
	 */
	public void completed() {
		this.completions++;
		if (isCold() && this.completions >= COMPLETIONS_PER_STEP) {
			this.allowed = Math.min(this.capacity, this.allowed * 2);
			this.completions = 0;
		}
	}

	/**
	 * Records a request that completed late, which does not advance the ramp.
	 */
	public void completedLate() {
		this.completions = 0;
	}

}
