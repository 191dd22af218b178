package org.banyanstile.server.router;

import java.time.Duration;

import org.banyanstile.core.common.Ticker;

/**
 * Graceful shutdown of this VM: decides which requests are still accepted, when those
 * that still run are ended with an answer, and when the process may exit. During a
 * rolling restart, callers that cached an older directory response still send requests.
 *
 * @author banyanstile contributors
 */
final class GracefulShutdown {

	/**
	 * Time for which requests are accepted that probably complete before this VM exits.
	 * By its end callers have asked the directory again, whose responses are cached for 2
	 * s.
	 */
	static final Duration ACCEPT_LIKELY_PERIOD = Duration.ofMillis(2800);

	/**
	 * Time for which requests are accepted whose time limit ends before this VM exits.
	 */
	static final Duration ACCEPT_SHORT_PERIOD = Duration.ofMillis(4500);

	/**
	 * Time to answer the requests that still run at the end.
	 */
	static final Duration ANSWER_PERIOD = Duration.ofMillis(300);

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
	 * @param likelyMillis time in milliseconds in which a request of this kind completes
	 * with high probability
	 * @return whether it is accepted
	 */
	boolean accepts(long remainingMillis, long likelyMillis) {
		if (!hasBegun()) {
			return true;
		}
		long elapsedNanos = elapsedNanos();
		long neededMillis = (elapsedNanos < ACCEPT_LIKELY_PERIOD.toNanos()) ? Math.min(remainingMillis, likelyMillis)
				: remainingMillis;
		return elapsedNanos < ACCEPT_SHORT_PERIOD.toNanos()
				&& elapsedNanos + neededMillis * 1_000_000 <= endOfRunsNanos();
	}

	/**
	 * Returns whether no further request is accepted.
	 * @return whether all are rejected
	 */
	boolean acceptsNone() {
		return hasBegun() && elapsedNanos() >= Math.min(ACCEPT_SHORT_PERIOD.toNanos(), endOfRunsNanos());
	}

	/**
	 * Returns whether the requests that still run are to be ended with an answer.
	 * @return whether they are
	 */
	boolean mustEndRuns() {
		return hasBegun() && elapsedNanos() >= endOfRunsNanos();
	}

	/**
	 * Returns whether the process may exit.
	 * @param unanswered number of requests whose response is not complete
	 * @return whether it may
	 */
	boolean mayExit(int unanswered) {
		long elapsedNanos = elapsedNanos();
		return elapsedNanos >= this.drainNanos || (elapsedNanos >= ACCEPT_SHORT_PERIOD.toNanos() && unanswered == 0);
	}

	private long endOfRunsNanos() {
		return this.drainNanos - ANSWER_PERIOD.toNanos();
	}

	private long elapsedNanos() {
		return this.ticker.nanos() - this.startNanos;
	}

}
