package org.banyanstile.server.router;

import java.util.concurrent.TimeUnit;

import io.undertow.server.HttpServerExchange;
import org.banyanstile.server.caller.ExchangeCloser;
import org.jspecify.annotations.Nullable;

/**
 * Exchange with a caller that has not ended.
 *
 * @author banyanstile contributors
 */
final class OpenExchange {

	private final HttpServerExchange exchange;

	private final ExchangeCloser closer;

	private volatile long deadlineNanos;

	private volatile @Nullable String id;

	/**
	 * {@link System#nanoTime()} at which the deadline was first seen to have passed, 0 if
	 * it was not.
	 */
	private long overdueNanos;

	OpenExchange(HttpServerExchange exchange) {
		this.exchange = exchange;
		this.closer = ExchangeCloser.create(exchange);
	}

	/**
	 * Sets the time at which the exchange should have ended.
	 * @param arrivalNanos {@link System#nanoTime()} at the arrival of the request
	 * @param limitMillis time limit of its route
	 */
	void setDeadline(long arrivalNanos, long limitMillis) {
		this.deadlineNanos = arrivalNanos + TimeUnit.MILLISECONDS.toNanos(limitMillis);
	}

	@Nullable
	String id() {
		return this.id;
	}

	void setId(@Nullable String id) {
		this.id = id;
	}

	boolean hasEnded() {
		return this.exchange.isComplete() || !this.exchange.getConnection().isOpen();
	}

	boolean isAnswered() {
		return this.exchange.isResponseComplete() || hasEnded();
	}

	/**
	 * Returns whether the deadline has passed. The grace time begins with the first check
	 * after it, so that a process that was frozen still sends its response.
	 * @param nowNanos current {@link System#nanoTime()}
	 * @param graceNanos time for the response after the deadline
	 * @return whether the exchange should be closed
	 */
	boolean isOverdue(long nowNanos, long graceNanos) {
		if (nowNanos - this.deadlineNanos <= 0) {
			return false;
		}
		if (this.overdueNanos == 0) {
			this.overdueNanos = nowNanos;
		}
		return nowNanos - this.overdueNanos > graceNanos;
	}

	/**
	 * Closes the connection, which ends the exchange in every state. Does nothing after
	 * its end.
	 */
	void close() {
		this.closer.close();
	}

}
