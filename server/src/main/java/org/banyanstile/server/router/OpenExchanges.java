package org.banyanstile.server.router;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

import io.undertow.server.HttpServerExchange;
import org.jspecify.annotations.Nullable;

/**
 * All exchanges with callers that have not ended. One whose deadline passes is answered,
 * or its connection is closed if the response has begun, whatever the thread that serves
 * it does. One that fails ends with its connection.
 *
 * @author banyanstile contributors
 */
final class OpenExchanges {

	/**
	 * Time after the limit of its route at which an exchange is ended. Leaves the time to
	 * cancel the call and to send the response to a time limit that has passed.
	 */
	private static final long GRACE_NANOS = 300_000_000;

	/**
	 * Time in which the caller can receive an answer that was sent at the deadline.
	 */
	private static final long ANSWER_NANOS = 1_000_000_000;

	/**
	 * Errors that wait to be logged; further ones are only counted.
	 */
	private static final int MAX_UNLOGGED = 64;

	private final Set<OpenExchange> exchanges = ConcurrentHashMap.newKeySet();

	private final AtomicLong failed = new AtomicLong();

	private final AtomicLong overdue = new AtomicLong();

	// Allocated beforehand, since an error may mean that memory is exhausted.
	private final @Nullable Throwable[] causes = new Throwable[MAX_UNLOGGED];

	private final @Nullable String[] ids = new String[MAX_UNLOGGED];

	private int unlogged;

	/**
	 * Adds an exchange until it ends.
	 * @param exchange the exchange
	 * @param limitMillis time limit until its request has arrived
	 * @return the added exchange
	 */
	OpenExchange add(HttpServerExchange exchange, long limitMillis) {
		OpenExchange open = new OpenExchange(exchange);
		open.setDeadline(System.nanoTime(), limitMillis);
		exchange.addExchangeCompleteListener((ended, next) -> {
			this.exchanges.remove(open);
			next.proceed();
		});
		this.exchanges.add(open);
		return open;
	}

	/**
	 * Records an error after which the exchange still gets a response.
	 */
	void recordError() {
		this.failed.incrementAndGet();
	}

	/**
	 * Ends an exchange after an error. Allocates nothing.
	 * @param open the exchange
	 * @param cause the error
	 */
	void fail(OpenExchange open, Throwable cause) {
		this.failed.incrementAndGet();
		synchronized (this.causes) {
			if (this.unlogged < MAX_UNLOGGED) {
				this.causes[this.unlogged] = cause;
				this.ids[this.unlogged] = open.id();
				this.unlogged++;
			}
		}
		open.close();
	}

	/**
	 * Closes the exchanges whose deadline has passed, and logs errors. Called
	 * periodically.
	 * @param log the log
	 */
	void check(DecisionLog log) {
		long now = System.nanoTime();
		for (OpenExchange open : this.exchanges) {
			if (open.hasEnded()) {
				this.exchanges.remove(open);
			}
			else if (open.isOverdue(now, GRACE_NANOS)) {
				end(open, now, log);
			}
		}
		while (logFailure(log)) {
			Thread.onSpinWait();
		}
	}

	private void end(OpenExchange open, long nowNanos, DecisionLog log) {
		if (open.tryAnswerAtDeadline()) {
			this.overdue.incrementAndGet();
			log.request("overdue", open.id(), "reason", "the exchange did not end by its deadline and was answered");
		}
		else if (!open.isAnsweredAtDeadline()) {
			this.overdue.incrementAndGet();
			close(open);
			log.request("overdue", open.id(), "reason", "the exchange did not end by its deadline and was closed");
		}
		else if (open.isOverdue(nowNanos, GRACE_NANOS + ANSWER_NANOS)) {
			close(open);
		}
	}

	private void close(OpenExchange open) {
		this.exchanges.remove(open);
		open.close();
	}

	/**
	 * Returns the number of exchanges whose response is not complete.
	 * @return the number
	 */
	int unanswered() {
		return (int) this.exchanges.stream().filter((open) -> !open.isAnswered()).count();
	}

	private boolean logFailure(DecisionLog log) {
		String id;
		Throwable cause;
		synchronized (this.causes) {
			if (this.unlogged == 0) {
				return false;
			}
			this.unlogged--;
			id = this.ids[this.unlogged];
			cause = this.causes[this.unlogged];
			this.ids[this.unlogged] = null;
			this.causes[this.unlogged] = null;
		}
		if (cause != null) {
			log.problem("request " + id + " failed and its connection was closed", cause);
		}
		return true;
	}

	long failed() {
		return this.failed.get();
	}

	long overdue() {
		return this.overdue.get();
	}

}
