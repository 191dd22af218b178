package org.banyanstile.server.caller;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;

import io.undertow.connector.PooledByteBuffer;
import io.undertow.server.ExchangeCompletionListener;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpServerConnection;
import org.jspecify.annotations.Nullable;
import org.xnio.IoUtils;

/**
 * Connection of a caller whose request was read completely, polled for a disconnect.
 * While a request runs the server does not read from the connection, so that without
 * polling a disconnect is only detected by a failing write.
 * <p>
 * Only the poll reads from the connection while the exchange runs, and only the server
 * does so after its end: the completion of the exchange ends polling and returns the
 * bytes of pipelined requests before the server looks for the next request.
 *
 * @author banyanstile contributors
 */
public final class CallerConnection {

	/**
	 * Bytes of pipelined requests beyond which polling pauses, and a disconnect is only
	 * detected by a failing write. Bounds the memory that a caller can fill.
	 */
	private static final int MAX_READ_AHEAD_BYTES = 64 * 1024;

	private final HttpServerExchange exchange;

	private final ExchangeCloser closer;

	private @Nullable ByteArrayOutputStream readAhead;

	private boolean polling = true;

	/**
	 * Enables polling of the connection of an exchange until the exchange ends.
	 * @param exchange the exchange, which must not have ended
	 */
	public CallerConnection(HttpServerExchange exchange) {
		this.exchange = exchange;
		this.closer = ExchangeCloser.create(exchange);
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
	 * Returns whether the caller has closed the connection or its sending side, which
	 * cannot be told apart. Does not block.
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
		int room = MAX_READ_AHEAD_BYTES - ((this.readAhead != null) ? this.readAhead.size() : 0);
		if (room == 0) {
			return false;
		}
		try (PooledByteBuffer pooled = connection.getByteBufferPool().allocate()) {
			ByteBuffer buffer = pooled.getBuffer();
			buffer.limit(Math.min(buffer.limit(), room));
			int bytesRead = connection.getOriginalSourceConduit().read(buffer);
			if (bytesRead > 0) {
				keepOrClose(connection, buffer.flip());
			}
			return bytesRead < 0;
		}
		catch (IOException ex) {
			return true;
		}
	}

	// Without these bytes the rest would be parsed as another request.
	private void keepOrClose(HttpServerConnection connection, ByteBuffer bytes) {
		boolean kept = false;
		try {
			keep(bytes);
			kept = true;
		}
		finally {
			if (!kept) {
				IoUtils.safeClose(connection);
			}
		}
	}

	private void keep(ByteBuffer bytes) {
		if (this.readAhead == null) {
			this.readAhead = new ByteArrayOutputStream(bytes.remaining());
		}
		byte[] chunk = new byte[bytes.remaining()];
		bytes.get(chunk);
		this.readAhead.writeBytes(chunk);
	}

	/**
	 * Ends polling and returns the bytes of pipelined requests to the server. The end of
	 * the exchange does the same.
	 */
	public synchronized void stop() {
		this.polling = false;
		ByteArrayOutputStream bytes = this.readAhead;
		if (bytes == null || !(this.exchange.getConnection() instanceof HttpServerConnection connection)) {
			return;
		}
		this.readAhead = null;
		boolean returned = false;
		try {
			returnBytes(connection, bytes.toByteArray());
			returned = true;
		}
		finally {
			if (!returned) {
				IoUtils.safeClose(connection);
			}
		}
	}

	/**
	 * Closes the connection if the exchange has not ended.
	 */
	public void close() {
		this.closer.close();
	}

	/**
	 * Closes the connection if the exchange has not ended.
	 * @param preparation run before the connection is closed
	 */
	public void close(Runnable preparation) {
		this.closer.close(preparation);
	}

	// The server may have kept the beginning of the same bytes when it parsed the
	// request.
	private static void returnBytes(HttpServerConnection connection, byte[] bytes) {
		PooledByteBuffer earlier = connection.getExtraBytes();
		int length = ((earlier != null) ? earlier.getBuffer().remaining() : 0) + bytes.length;
		// The server reuses the buffer for reading.
		ByteBuffer buffer = ByteBuffer.allocate(Math.max(length, connection.getBufferSize()));
		if (earlier != null) {
			buffer.put(earlier.getBuffer());
			earlier.close();
		}
		buffer.put(bytes).flip();
		connection.setExtraBytes(new UnpooledBuffer(buffer));
	}

	/**
	 * Buffer that belongs to no pool.
	 *
	 * @author banyanstile contributors
	 */
	private static final class UnpooledBuffer implements PooledByteBuffer {

		private final ByteBuffer buffer;

		private boolean open = true;

		UnpooledBuffer(ByteBuffer buffer) {
			this.buffer = buffer;
		}

		@Override
		public ByteBuffer getBuffer() {
			return this.buffer;
		}

		@Override
		public void close() {
			this.open = false;
		}

		@Override
		public boolean isOpen() {
			return this.open;
		}

	}

}
