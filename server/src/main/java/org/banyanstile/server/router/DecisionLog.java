package org.banyanstile.server.router;

import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.apache.logging.log4j.message.StringMapMessage;
import org.jspecify.annotations.Nullable;

/**
 * Structured log of decisions. Each kind has a budget of lines a second; what is left out
 * is counted and logged with the next line of that kind. The appender drops lines before
 * it blocks. Safe for use by several threads.
 *
 * @author banyanstile contributors
 */
public final class DecisionLog {

	/**
	 * Lines a second on single requests. A VM takes some tens of requests a second at its
	 * share of the peak.
	 */
	private static final int REQUEST_LINES = 40;

	/**
	 * Lines a second on changes of what the process believes.
	 */
	private static final int BELIEF_LINES = 40;

	private static final int PROBLEM_LINES = 10;

	private static final Logger logger = LogManager.getLogger("decisions");

	private final Budget requests = new Budget(REQUEST_LINES);

	private final Budget beliefs = new Budget(BELIEF_LINES);

	private final Budget problems = new Budget(PROBLEM_LINES);

	private final AtomicLong leftOut = new AtomicLong();

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
	 * Logs a decision that touches a request.
	 * @param event what was decided
	 * @param id id of the request
	 * @param fields names and values, in turn
	 */
	public void request(String event, @Nullable String id, @Nullable Object... fields) {
		if (this.requests.tryTake()) {
			write(this.requests, event, "request", (id != null) ? id : "none", fields);
		}
	}

	/**
	 * Logs a change of what the process believes.
	 * @param event what changed
	 * @param fields names and values, in turn
	 */
	public void belief(String event, @Nullable Object... fields) {
		if (this.beliefs.tryTake()) {
			write(this.beliefs, event, null, null, fields);
		}
	}

	/**
	 * Logs a start, a stop, a reload, or a dependency that was lost or is back. These are
	 * few and always written.
	 * @param event what happened
	 * @param fields names and values, in turn
	 */
	public void lifecycle(String event, @Nullable Object... fields) {
		write(null, event, null, null, fields);
	}

	/**
	 * Logs an error that was handled.
	 * @param what what failed and what follows
	 * @param cause the error
	 */
	public void problem(String what, Throwable cause) {
		if (this.problems.tryTake()) {
			write(this.problems, "problem", null, null, "what", what, "cause", cause.toString());
		}
	}

	/**
	 * Returns the number of lines that went beyond their budget.
	 * @return the number since the start
	 */
	public long leftOut() {
		return this.leftOut.get();
	}

	private static void write(@Nullable Budget budget, String event, @Nullable String idName, @Nullable String id,
			@Nullable Object... fields) {
		StringMapMessage message = new StringMapMessage(fields.length / 2 + 3);
		message.put("event", event);
		if (idName != null && id != null) {
			message.put(idName, id);
		}
		for (int i = 0; i + 1 < fields.length; i += 2) {
			message.put(String.valueOf(fields[i]), String.valueOf(fields[i + 1]));
		}
		long left = (budget != null) ? budget.takeSkipped() : 0;
		if (left > 0) {
			message.put("linesLeftOut", Long.toString(left));
		}
		logger.info(message);
	}

	/**
	 * Lines that may be written in each second.
	 *
	 * @author banyanstile contributors
	 */
	private final class Budget {

		private final int lines;

		private final AtomicLong second = new AtomicLong();

		private final AtomicInteger written = new AtomicInteger();

		private final AtomicLong skipped = new AtomicLong();

		private Budget(int lines) {
			this.lines = lines;
		}

		private boolean tryTake() {
			long now = System.nanoTime() / 1_000_000_000L;
			long before = this.second.get();
			if (now != before && this.second.compareAndSet(before, now)) {
				this.written.set(0);
			}
			if (this.written.incrementAndGet() <= this.lines) {
				return true;
			}
			this.skipped.incrementAndGet();
			DecisionLog.this.leftOut.incrementAndGet();
			return false;
		}

		private long takeSkipped() {
			return this.skipped.getAndSet(0);
		}

	}

}
