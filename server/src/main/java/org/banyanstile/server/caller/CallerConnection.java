package org.banyanstile.server.caller;

import java.io.IOException;

import io.undertow.connector.PooledByteBuffer;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpServerConnection;

/**
 * Connection of a caller whose request was read completely, polled for a disconnect.
 * While a request runs the server does not read from the connection, so that without
 * polling a disconnect is only detected by a failing write.
 *
 * @author banyanstile contributors
 */
public final class CallerConnection {

	private final HttpServerExchange exchange;

	private boolean polling = true;

	/**
	 * Enables polling of the connection of an exchange.
	 * @param exchange the exchange, whose request was read completely
	 */
	public CallerConnection(HttpServerExchange exchange) {
		this.exchange = exchange;
	}

	/**
	 * Returns whether the caller has closed the connection. Does not block. Bytes of a
	 * pipelined request are returned to the server, and polling ends.
	 * @return whether it is closed
	 */
	public synchronized boolean isClosed() {
		if (!this.polling) {
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
	 * Ends polling. Must be called before the server reads the next request.
	 */
	public synchronized void stop() {
		this.polling = false;
	}

}
