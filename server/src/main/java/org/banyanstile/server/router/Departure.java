package org.banyanstile.server.router;

import java.time.Duration;

import org.banyanstile.core.common.Ticker;

/**
 * Shutdown of this VM: which requests it still takes, and when it ends. Answers the load
 * of a rolling restart, where callers who kept an older directory answer still come.
 *
 * @author banyanstile contributors
 */
final class Departure {

	/**
	 * Time for which every request is taken. By then callers have asked the directory
	 * again, whose answers live for 2 s, and most requests taken still end in time.
	 */
	static final Duration TAKE_ALL = Duration.ofMillis(2800);

	/**
	 * Time for which requests are taken whose own time limit ends before this VM does.
	 */
	static final Duration TAKE_SHORT = Duration.ofMillis(4500);

	/**
	 * Part of the shutdown time that is left for ending the process, some times what
	 * closing the listeners takes on a busy VM.
	 */
	static final Duration EXIT_RESERVE = Duration.ofMillis(900);

	private static final long NOT_BEGUN = Long.MIN_VALUE;

	private volatile long lengthNanos;

	private final Ticker ticker;

	private volatile long began = NOT_BEGUN;

	private Departure(long lengthNanos, Ticker ticker) {
		this.lengthNanos = lengthNanos;
		this.ticker = ticker;
	}

	/**
	 * Creates a shutdown that has not begun.
	 * @param shutdown time from its beginning to the end of the process
	 * @param ticker time source
	 * @return the shutdown
	 */
	static Departure within(Duration shutdown, Ticker ticker) {
		return new Departure(shutdown.minus(EXIT_RESERVE).toNanos(), ticker);
	}

	void setShutdown(Duration shutdown) {
		this.lengthNanos = shutdown.minus(EXIT_RESERVE).toNanos();
	}

	void begin() {
		this.began = this.ticker.nanos();
	}

	boolean hasBegun() {
		return this.began != NOT_BEGUN;
	}

	/**
	 * Returns whether a request is taken. One that could still run when the process ends
	 * is refused while its caller has the time to go elsewhere.
	 * @param limitMillis time until the request has its answer or has timed out
	 * @return whether it is taken
	 */
	boolean mayTake(long limitMillis) {
		if (!hasBegun()) {
			return true;
		}
		long since = since();
		if (since < Math.min(TAKE_ALL.toNanos(), this.lengthNanos)) {
			return true;
		}
		return since < TAKE_SHORT.toNanos() && since + limitMillis * 1_000_000 <= this.lengthNanos;
	}

	/**
	 * Returns whether the process may end.
	 * @param running number of requests that still run
	 * @return whether it may
	 */
	boolean isOver(int running) {
		long since = since();
		return since >= this.lengthNanos || (since >= TAKE_SHORT.toNanos() && running == 0);
	}

	private long since() {
		return this.ticker.nanos() - this.began;
	}

}
