package org.banyanstile.io.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.ClosedChannelException;
import java.util.concurrent.TimeUnit;

import org.jspecify.annotations.Nullable;
import org.xnio.ChannelListener;
import org.xnio.channels.StreamSourceChannel;

/**
 * Passes the body of a response from the I/O thread of its connection to the thread that
 * waits for it. The I/O thread stops reading while the buffer is full, so a slow reader
 * applies backpressure to the peer.
 *
 * @author banyanstile contributors
 */
final class ResponseReader implements ChannelListener<StreamSourceChannel> {

	/**
	 * Holds some tens of stream events, or a typical response of a plain service.
	 */
	private static final int BUFFER_BYTES = 8192;

	/**
	 * Interval at which a waiting reader checks whether this side closed the connection.
	 */
	private static final long CLOSE_CHECK_MILLIS = 100;

	private final HttpConnection connection;

	private final StreamSourceChannel channel;

	private final ByteBuffer received = ByteBuffer.allocate(BUFFER_BYTES);

	private boolean paused;

	private boolean ended;

	private @Nullable IOException failure;

	ResponseReader(HttpConnection connection, StreamSourceChannel channel) {
		this.connection = connection;
		this.channel = channel;
	}

	/**
	 * Starts reading. Called on the I/O thread.
	 */
	void start() {
		this.channel.getReadSetter().set(this);
		handleEvent(this.channel);
	}

	@Override
	public synchronized void handleEvent(StreamSourceChannel source) {
		if (this.ended || this.failure != null) {
			return;
		}
		try {
			int n = receive(source);
			while (n > 0 && this.received.hasRemaining()) {
				n = receive(source);
			}
			// A socket that this side has closed reads as if the peer had ended the body.
			if (n < 0 && this.connection.isAborted()) {
				throw new ClosedChannelException();
			}
			this.ended = this.connection.isEnd(n);
			this.paused = !this.ended && !this.received.hasRemaining();
			if (this.ended || this.paused) {
				source.suspendReads();
			}
			else {
				source.resumeReads();
			}
		}
		catch (IOException ex) {
			this.failure = ex;
		}
		catch (RuntimeException ex) {
			this.failure = new IOException("cannot read the response", ex);
		}
		notifyAll();
	}

	private int receive(StreamSourceChannel source) throws IOException {
		int n = source.read(this.received);
		this.connection.overhead().body(n);
		return n;
	}

	/**
	 * Waits for bytes of the body.
	 * @param target buffer that receives the bytes
	 * @param millis longest wait in milliseconds
	 * @return the number of bytes, 0 if the wait timed out, -1 at the end of the body
	 * @throws IOException if the connection broke or was closed
	 */
	synchronized int read(ByteBuffer target, long millis) throws IOException {
		long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
		while (this.received.position() == 0) {
			if (this.ended) {
				return -1;
			}
			if (this.failure != null) {
				throw new IOException(this.failure);
			}
			if (this.connection.isAborted()) {
				throw new ClosedChannelException();
			}
			long remaining = TimeUnit.NANOSECONDS.toMillis(deadline - System.nanoTime());
			if (remaining <= 0) {
				return 0;
			}
			await(Math.min(remaining, CLOSE_CHECK_MILLIS));
		}
		this.received.flip();
		int n = Math.min(this.received.remaining(), target.remaining());
		target.put(this.received.slice().limit(n));
		this.received.position(n).compact();
		if (this.paused) {
			this.paused = false;
			this.connection.execute(() -> handleEvent(this.channel));
		}
		return n;
	}

	private void await(long millis) throws IOException {
		try {
			wait(millis);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new IOException("interrupted while waiting for a response", ex);
		}
	}

}
