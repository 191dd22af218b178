package org.banyanstile.server.caller;

import io.undertow.server.ExchangeCompletionListener;
import io.undertow.server.HttpServerExchange;
import org.xnio.IoUtils;

/**
 * Closes the connection of an exchange while the exchange uses it. After the end of the
 * exchange the connection may carry the next request of the caller and stays open. Safe
 * for use by several threads.
 *
 * @author banyanstile contributors
 */
public final class ExchangeCloser {

	private final HttpServerExchange exchange;

	private boolean ended;

	private ExchangeCloser(HttpServerExchange exchange) {
		this.exchange = exchange;
	}

	/**
	 * Creates the closer of an exchange.
	 * @param exchange the exchange, which must not have ended
	 * @return the closer
	 */
	public static ExchangeCloser create(HttpServerExchange exchange) {
		ExchangeCloser closer = new ExchangeCloser(exchange);
		exchange.addExchangeCompleteListener((ended, next) -> closer.complete(next));
		return closer;
	}

	// The server looks for the next request after the listeners have returned.
	private void complete(ExchangeCompletionListener.NextListener next) {
		synchronized (this) {
			this.ended = true;
		}
		next.proceed();
	}

	/**
	 * Closes the connection if the exchange has not ended.
	 */
	public void close() {
		close(() -> {
		});
	}

	/**
	 * Closes the connection if the exchange has not ended.
	 * @param preparation run before the connection is closed
	 */
	public synchronized void close(Runnable preparation) {
		if (this.ended) {
			return;
		}
		preparation.run();
		IoUtils.safeClose(this.exchange.getConnection());
	}

}
