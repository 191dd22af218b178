package org.banyanstile.server.router;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
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

	private final AtomicBoolean responseTaken = new AtomicBoolean();

	private volatile boolean answeredAtDeadline;

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
	 * Takes the right to send the response, which only one thread gets.
	 * @return whether it was taken
	 */
	boolean tryTakeResponse() {
		return this.responseTaken.compareAndSet(false, true);
	}

	/**
	 * Answers the exchange in place of the thread that serves it, unless that thread has
	 * begun to respond.
	 * @return whether the answer is sent
	 */
	boolean tryAnswerAtDeadline() {
		// A request that was not read completely is refused without taking the response.
		if (this.exchange.isResponseStarted() || !tryTakeResponse()) {
			return false;
		}
		this.answeredAtDeadline = true;
		this.exchange.getIoThread().execute(this::sendTimeout);
		return true;
	}

	boolean isAnsweredAtDeadline() {
		return this.answeredAtDeadline;
	}

	private void sendTimeout() {
		RejectionException rejection = RejectionException.timedOut();
		this.exchange.setPersistent(false);
		this.exchange.setStatusCode(rejection.status());
		this.exchange.getResponseHeaders().put(Headers.CONNECTION, "close");
		this.exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
		String body = "{\"error\":\"" + rejection.getMessage() + "\"}";
		this.exchange.getResponseSender().send(ByteBuffer.wrap(body.getBytes(StandardCharsets.UTF_8)));
	}

	/**
	 * Closes the connection, which ends the exchange in every state. Does nothing after
	 * its end.
	 */
	void close() {
		this.closer.close();
	}

}
