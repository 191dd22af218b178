package org.banyanstile.server.router;

import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.apache.logging.log4j.message.StringMapMessage;
import org.jspecify.annotations.Nullable;

/**
 * Structured log of decisions. Each kind of line has a maximum rate; suppressed lines are
 * counted, and the count is logged with the next line of that kind. The appender drops
 * lines rather than block. Safe for use by several threads.
 *
 * @author banyanstile contributors
 */
public final class DecisionLog {

	/**
	 * Maximum lines a second about single requests. At its share of the peak load a VM
	 * receives some tens of requests a second.
	 */
	private static final int MAX_REQUEST_LINES = 40;

	/**
	 * Maximum lines a second about state changes.
	 */
	private static final int MAX_STATE_CHANGE_LINES = 40;

	private static final int MAX_PROBLEM_LINES = 10;

	/**
	 * Maximum lines a second about resends, which other lines about requests must not
	 * suppress: without them a request that ran twice cannot be traced.
	 */
	private static final int MAX_RESEND_LINES = 40;

	/**
	 * Longest value in a line. Others write some of the values, for example rows of the
	 * store.
	 */
	private static final int MAX_VALUE_CHARS = 1000;

	private static final Logger logger = LogManager.getLogger("decisions");

	private final RateLimit requests = new RateLimit(MAX_REQUEST_LINES);

	private final RateLimit stateChanges = new RateLimit(MAX_STATE_CHANGE_LINES);

	private final RateLimit problems = new RateLimit(MAX_PROBLEM_LINES);

	private final RateLimit resends = new RateLimit(MAX_RESEND_LINES);

	private final AtomicLong suppressedLines = new AtomicLong();

	private DecisionLog() {
	}

	/**
	 * Creates a log.
	 * @return the log
	 */
	public static DecisionLog create() {
		return new DecisionLog();
	}

	/**
	 * Logs a decision about a request.
	 * @param event what was decided
	 * @param id id of the request
	 * @param fields names and values, alternating
	 */
	public void request(String event, @Nullable String id, @Nullable Object... fields) {
		if (this.requests.tryAcquire()) {
			write(this.requests, event, "request", (id != null) ? id : "none", fields);
		}
	}

	/**
	 * Logs that a request is sent again.
	 * @param id id of the request
	 * @param fields names and values, alternating
	 */
	public void resend(@Nullable String id, @Nullable Object... fields) {
		if (this.resends.tryAcquire()) {
			write(this.resends, "resend", "request", (id != null) ? id : "none", fields);
		}
	}

	/**
	 * Logs a change of the state that this VM assumes.
	 * @param event what changed
	 * @param fields names and values, alternating
	 */
	public void stateChange(String event, @Nullable Object... fields) {
		if (this.stateChanges.tryAcquire()) {
			write(this.stateChanges, event, null, null, fields);
		}
	}

	/**
	 * Logs a start, a stop, a reload, or the loss or recovery of a dependency. These
	 * events are rare, so their rate is not limited.
	 * @param event what happened
	 * @param fields names and values, alternating
	 */
	public void lifecycle(String event, @Nullable Object... fields) {
		write(null, event, null, null, fields);
	}

	/**
	 * Logs an error that was handled.
	 * @param what what failed and with what effect
	 * @param cause the error
	 * @return whether the line was written, {@code false} if it exceeded the maximum rate
	 */
	public boolean problem(String what, Throwable cause) {
		if (!this.problems.tryAcquire()) {
			return false;
		}
		write(this.problems, "problem", null, null, "what", what, "cause", cause.toString());
		return true;
	}

	/**
	 * Returns the number of lines that were suppressed because they exceeded the maximum
	 * rate of their kind.
	 * @return the number since the start
	 */
	public long suppressedLines() {
		return this.suppressedLines.get();
	}

	private static String bounded(String value) {
		return (value.length() <= MAX_VALUE_CHARS) ? value : value.substring(0, MAX_VALUE_CHARS) + "...";
	}

	private static void write(@Nullable RateLimit limit, String event, @Nullable String idName, @Nullable String id,
			@Nullable Object... fields) {
		StringMapMessage message = new StringMapMessage(fields.length / 2 + 3);
		message.put("event", event);
		if (idName != null && id != null) {
			message.put(idName, bounded(id));
		}
		for (int i = 0; i + 1 < fields.length; i += 2) {
			message.put(String.valueOf(fields[i]), bounded(String.valueOf(fields[i + 1])));
		}
		long suppressed = (limit != null) ? limit.drainSuppressed() : 0;
		if (suppressed > 0) {
			message.put("linesLeftOut", Long.toString(suppressed));
		}
		logger.info(message);
	}

	/**
	 * Limits the lines that are written in each second.
	 *
	 * @author banyanstile contributors
	 */
	private final class RateLimit {

		private final int maxLines;

		private final AtomicLong currentSecond = new AtomicLong();

		private final AtomicInteger written = new AtomicInteger();

		private final AtomicLong suppressed = new AtomicLong();

		private RateLimit(int maxLines) {
			this.maxLines = maxLines;
		}

		private boolean tryAcquire() {
			long second = System.nanoTime() / 1_000_000_000L;
			long before = this.currentSecond.get();
			if (second != before && this.currentSecond.compareAndSet(before, second)) {
				this.written.set(0);
			}
			if (this.written.incrementAndGet() <= this.maxLines) {
				return true;
			}
			this.suppressed.incrementAndGet();
			DecisionLog.this.suppressedLines.incrementAndGet();
			return false;
		}

		private long drainSuppressed() {
			return this.suppressed.getAndSet(0);
		}

	}

}
