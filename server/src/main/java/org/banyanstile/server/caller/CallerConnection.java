package org.banyanstile.server.caller;

import java.io.IOException;

import io.undertow.connector.PooledByteBuffer;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpServerConnection;

/**
 * Connection of a caller whose request was read completely, polled for its end. While a
 * request runs the server does not read from the connection, so the end would otherwise
 * be noticed only by a failing write.
 *
 * @author banyanstile contributors
 */
public final class CallerConnection {

	private final HttpServerExchange exchange;

	private boolean polled = true;

	/**
	 * Begins to poll the connection of an exchange.
	 * @param exchange the exchange, whose request was read completely
	 */
	public CallerConnection(HttpServerExchange exchange) {
		this.exchange = exchange;
	}

	/**
	 * Returns whether the caller has closed the connection. A read never blocks here.
	 * Bytes of a pipelined request are given back to the server, and polling ends.
	 * @return whether it is closed
	 */
	public synchronized boolean isClosed() {
		if (!this.polled) {
			return false;
		}
		if (!this.exchange.getConnection().isOpen()) {
			return true;
		}
		return this.exchange.getConnection() instanceof HttpServerConnection connection && poll(connection);
	}

	private boolean poll(HttpServerConnection connection) {
		PooledByteBuffer pooled = connection.getByteBufferPool().allocate();
		int n = -1;
		try {
			n = connection.getOriginalSourceConduit().read(pooled.getBuffer());
		}
		catch (IOException ex) {
			return true;
		}
		finally {
			if (n <= 0) {
				pooled.close();
			}
		}
		if (n > 0) {
			pooled.getBuffer().flip();
			connection.ungetRequestBytes(pooled);
			this.polled = false;
		}
		return n < 0;
	}

	/**
	 * Ends polling, before the server reads the next request.
	 */
	public synchronized void stop() {
		this.polled = false;
	}

}
