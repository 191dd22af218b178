package org.banyanstile.server.caller;

import java.io.IOException;

import io.undertow.connector.PooledByteBuffer;
import io.undertow.server.ExchangeCompletionListener;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpServerConnection;

/**
 * Connection of a caller whose request was read completely, polled for a disconnect.
 * While a request runs the server does not read from the connection, so that without
 * polling a disconnect is only detected by a failing write.
 * <p>
 * Only the poll reads from the connection while the exchange runs, and only the server
 * does so after its end: the completion of the exchange ends polling before the server
 * looks for the next request.
 *
 * @author banyanstile contributors
 */
public final class CallerConnection {

	private final HttpServerExchange exchange;

	private boolean polling = true;

	/**
	 * Enables polling of the connection of an exchange until the exchange ends.
	 * @param exchange the exchange, which must not have ended
	 */
	public CallerConnection(HttpServerExchange exchange) {
		this.exchange = exchange;
		exchange.addExchangeCompleteListener((ended, next) -> complete(next));
	}

	private void complete(ExchangeCompletionListener.NextListener next) {
		try {
			stop();
		}
		finally {
			next.proceed();
		}
	}

	/**
	 * Returns whether the caller has closed the connection. Does not block. Bytes of a
	 * pipelined request are returned to the server, and polling ends.
	 * @return whether it is closed
	 */
	public synchronized boolean isClosed() {
		if (!this.polling || !this.exchange.isRequestComplete()) {
			return false;
		}
		if (!this.exchange.getConnection().isOpen()) {
			return true;
		}
		return this.exchange.getConnection() instanceof HttpServerConnection connection && poll(connection);
	}

	private boolean poll(HttpServerConnection connection) {
		PooledByteBuffer pooled = connection.getByteBufferPool().allocate();
		int bytesRead = -1;
		try {
			bytesRead = connection.getOriginalSourceConduit().read(pooled.getBuffer());
		}
		catch (IOException ex) {
			return true;
		}
		finally {
			if (bytesRead <= 0) {
				pooled.close();
			}
		}
		if (bytesRead > 0) {
			pooled.getBuffer().flip();
			connection.ungetRequestBytes(pooled);
			this.polling = false;
		}
		return bytesRead < 0;
	}

	/**
	 * Ends polling. The end of the exchange does the same.
	 */
	public synchronized void stop() {
		this.polling = false;
	}

}
