package org.banyanstile.core.routing;

/**
 * Detects the cold start of one endpoint from its behaviour. Safe for use by several
 * threads.
 *
 * @author banyanstile contributors
 */
public final class ColdStartDetector {

	/**
	 * A time per token above this multiple of its median indicates a cold start.
	 */
	private static final int SLOW_FACTOR = 3;

	/**
	 * Number of responses after which the estimate of the median is used.
	 */
	private static final int MIN_SAMPLES = 16;

	private final Object lock = new Object();

	private double median;

	private int samples;

	private boolean refused;

	/**
	 * Records a load report.
	 * @param cold whether the report says that the endpoint is cold
	 * @return true if a cold start was detected
	 */
	public boolean loadReported(boolean cold) {
		return cold;
	}

	/**
	 * Records a refused connection.
	 */
	public void connectionRefused() {
		synchronized (this.lock) {
			this.refused = true;
		}
	}

	/**
	 * Records an accepted connection.
	 * @return true if a cold start was detected, because the previous connection was
	 * refused
	 */
	public boolean connectionAccepted() {
		synchronized (this.lock) {
			boolean restarted = this.refused;
			this.refused = false;
			return restarted;
		}
	}

	/**
	 * Records the time per token of a response. The estimate of the median changes in
	 * steps of 2%, so that a few slow responses do not shift it.
	 * @param nanosPerToken the mean time between tokens
	 * @return true if a cold start was detected
	 */
	public boolean answered(long nanosPerToken) {
		synchronized (this.lock) {
			if (this.samples == 0) {
				this.median = nanosPerToken;
			}
			boolean slow = this.samples >= MIN_SAMPLES && nanosPerToken > SLOW_FACTOR * this.median;
			this.samples = Math.min(MIN_SAMPLES, this.samples + 1);
			this.median *= (nanosPerToken > this.median) ? 1.02 : 0.98;
			return slow;
		}
	}

}
