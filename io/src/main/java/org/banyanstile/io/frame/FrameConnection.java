package org.banyanstile.io.frame;

import java.io.BufferedInputStream;
import java.io.DataInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.util.concurrent.atomic.AtomicLong;

import org.jspecify.annotations.Nullable;

/**
 * Blocking connection for frames: a four-byte big-endian length, followed by that many
 * bytes of content. One thread may read while several threads write.
 *
 * @author banyanstile contributors
 */
public final class FrameConnection implements AutoCloseable {

	/**
	 * Maximum size of the content of a frame in bytes.
	 */
	public static final int MAX_BYTES = 1024 * 1024;

	private static final long NOT_WRITING = Long.MIN_VALUE;

	private final Socket socket;

	private final DataInputStream in;

	private final OutputStream out;

	private final Object writeLock = new Object();

	private final AtomicLong bytesSent = new AtomicLong();

	private final AtomicLong bytesReceived = new AtomicLong();

	private volatile long writeStartNanos = NOT_WRITING;

	private FrameConnection(Socket socket) throws IOException {
		this.socket = socket;
		this.in = new DataInputStream(new BufferedInputStream(socket.getInputStream()));
		this.out = socket.getOutputStream();
	}

	/**
	 * Creates a connection over a connected socket.
	 * @param socket the socket, which the connection closes
	 * @return the connection
	 * @throws IOException if the socket is closed
	 */
	public static FrameConnection over(Socket socket) throws IOException {
		socket.setTcpNoDelay(true);
		return new FrameConnection(socket);
	}

	/**
	 * Sets the read timeout. The connection must be closed after a timeout.
	 * @param millis the timeout in milliseconds, 0 for no limit
	 * @throws IOException if the socket is closed
	 */
	public void setReadTimeout(int millis) throws IOException {
		this.socket.setSoTimeout(millis);
	}

	/**
	 * Reads a frame.
	 * @return its content, or {@code null} if the peer closed the connection
	 * @throws MalformedFrameException if the frame is empty or too large
	 * @throws IOException if the connection broke
	 */
	public byte @Nullable [] receive() throws IOException {
		int length;
		try {
			length = this.in.readInt();
		}
		catch (EOFException ex) {
			return null;
		}
		if (length <= 0 || length > MAX_BYTES) {
			throw new MalformedFrameException("invalid frame length: " + Integer.toUnsignedString(length)
					+ " bytes, allowed are 1 to " + MAX_BYTES, null);
		}
		byte[] content = new byte[length];
		this.in.readFully(content);
		this.bytesReceived.addAndGet(Integer.BYTES + length);
		return content;
	}

	/**
	 * Writes a frame. Blocks while the peer does not read.
	 * @param content the content
	 * @throws IOException if the connection broke or the content is too large
	 */
	public void send(byte[] content) throws IOException {
		if (content.length == 0 || content.length > MAX_BYTES) {
			throw new MalformedFrameException(
					"invalid frame length: " + content.length + " bytes, allowed are 1 to " + MAX_BYTES, null);
		}
		byte[] frame = ByteBuffer.allocate(Integer.BYTES + content.length).putInt(content.length).put(content).array();
		synchronized (this.writeLock) {
			this.writeStartNanos = System.nanoTime();
			try {
				this.out.write(frame);
			}
			finally {
				this.writeStartNanos = NOT_WRITING;
			}
		}
		this.bytesSent.addAndGet(frame.length);
	}

	/**
	 * Returns whether a write has been blocked for longer than a time because the peer
	 * does not read.
	 * @param now the current {@link System#nanoTime()}
	 * @param nanos the time in nanoseconds
	 * @return whether a write is blocked for longer
	 */
	public boolean isWriteBlocked(long now, long nanos) {
		long start = this.writeStartNanos;
		return start != NOT_WRITING && now - start > nanos;
	}

	/**
	 * Returns the number of bytes written.
	 * @return the number, including the length fields
	 */
	public long bytesSent() {
		return this.bytesSent.get();
	}

	/**
	 * Returns the number of bytes read.
	 * @return the number, including the length fields
	 */
	public long bytesReceived() {
		return this.bytesReceived.get();
	}

	/**
	 * Closes the socket. Threads that are blocked on it get an {@link IOException}.
	 */
	@Override
	public void close() {
		try {
			this.socket.close();
		}
		catch (IOException ex) {
			// The socket cannot be used any more in either case.
		}
	}

}
