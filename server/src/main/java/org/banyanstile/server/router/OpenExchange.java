package org.banyanstile.server.router;

import io.undertow.server.HttpServerExchange;
import org.jspecify.annotations.Nullable;
import org.xnio.IoUtils;

/**
 * Exchange with a caller that has not ended.
 *
 * @author banyanstile contributors
 */
final class OpenExchange {

	private final HttpServerExchange exchange;

	private final long deadlineNanos;

	private volatile @Nullable String id;

	OpenExchange(HttpServerExchange exchange, long deadlineNanos) {
		this.exchange = exchange;
		this.deadlineNanos = deadlineNanos;
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

	boolean isOverdue(long nowNanos) {
		return nowNanos - this.deadlineNanos > 0;
	}

	/**
	 * Closes the connection, which ends the exchange in every state.
	 */
	void close() {
		IoUtils.safeClose(this.exchange.getConnection());
	}

}
