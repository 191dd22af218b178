package org.banyanstile.server.router;

import java.time.Duration;

import org.banyanstile.core.common.Ticker;

/**
 * Graceful shutdown of this VM: decides which requests are still accepted and when the
 * process may exit. During a rolling restart, callers that cached an older directory
 * response still send requests.
 *
 * @author banyanstile contributors
 */
final class GracefulShutdown {

	/**
	 * Time for which every request is accepted. By its end callers have asked the
	 * directory again, whose responses are cached for 2 s, and most accepted requests
	 * still complete in time.
	 */
	static final Duration ACCEPT_ALL_PERIOD = Duration.ofMillis(2800);

	/**
	 * Time for which requests are accepted whose time limit ends before this VM exits.
	 */
	static final Duration ACCEPT_SHORT_PERIOD = Duration.ofMillis(4500);

	/**
	 * Part of the shutdown time reserved for the exit of the process, several times what
	 * closing the listeners takes on a busy VM.
	 */
	static final Duration EXIT_RESERVE = Duration.ofMillis(900);

	private static final long NOT_BEGUN = Long.MIN_VALUE;

	private volatile long drainNanos;

	private final Ticker ticker;

	private volatile long startNanos = NOT_BEGUN;

	private GracefulShutdown(long drainNanos, Ticker ticker) {
		this.drainNanos = drainNanos;
		this.ticker = ticker;
	}

	/**
	 * Creates a shutdown that has not begun.
	 * @param shutdown time from its beginning until the process has to have exited
	 * @param ticker time source
	 * @return the shutdown
	 */
	static GracefulShutdown of(Duration shutdown, Ticker ticker) {
		return new GracefulShutdown(shutdown.minus(EXIT_RESERVE).toNanos(), ticker);
	}

	void setShutdown(Duration shutdown) {
		this.drainNanos = shutdown.minus(EXIT_RESERVE).toNanos();
	}

	void begin() {
		this.startNanos = this.ticker.nanos();
	}

	boolean hasBegun() {
		return this.startNanos != NOT_BEGUN;
	}

	/**
	 * Returns whether a request is accepted. A request that could still be running when
	 * the process exits is rejected, so that its caller has time to use another VM.
	 * @param remainingMillis time in milliseconds until the request completes or times
	 * out
	 * @return whether it is accepted
	 */
	boolean accepts(long remainingMillis) {
		if (!hasBegun()) {
			return true;
		}
		long elapsedNanos = elapsedNanos();
		if (elapsedNanos < Math.min(ACCEPT_ALL_PERIOD.toNanos(), this.drainNanos)) {
			return true;
		}
		return elapsedNanos < ACCEPT_SHORT_PERIOD.toNanos()
				&& elapsedNanos + remainingMillis * 1_000_000 <= this.drainNanos;
	}

	/**
	 * Returns whether the process may exit.
	 * @param running number of requests that are still running
	 * @return whether it may
	 */
	boolean mayExit(int running) {
		long elapsedNanos = elapsedNanos();
		return elapsedNanos >= this.drainNanos || (elapsedNanos >= ACCEPT_SHORT_PERIOD.toNanos() && running == 0);
	}

	private long elapsedNanos() {
		return this.ticker.nanos() - this.startNanos;
	}

}
