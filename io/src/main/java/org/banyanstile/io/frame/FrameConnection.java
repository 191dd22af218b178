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
 * Blocking connection that carries frames: a length of four bytes, big-endian, and that
 * many bytes of content. One thread may read while several write.
 *
 * @author banyanstile contributors
 */
public final class FrameConnection implements AutoCloseable {

	/**
	 * Largest content of a frame in bytes.
	 */
	public static final int MAX_BYTES = 1024 * 1024;

	private static final long NOT_WRITING = Long.MIN_VALUE;

	private final Socket socket;

	private final DataInputStream in;

	private final OutputStream out;

	private final Object writing = new Object();

	private final AtomicLong bytesSent = new AtomicLong();

	private final AtomicLong bytesReceived = new AtomicLong();

	private volatile long writeBegan = NOT_WRITING;

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
	 * Sets the longest wait of a read, after which the connection must be closed.
	 * @param millis the time in milliseconds, 0 for no limit
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
			throw new MalformedFrameException("frame of " + Integer.toUnsignedString(length) + " bytes", null);
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
			throw new MalformedFrameException("frame of " + content.length + " bytes", null);
		}
		byte[] frame = ByteBuffer.allocate(Integer.BYTES + content.length).putInt(content.length).put(content).array();
		synchronized (this.writing) {
			this.writeBegan = System.nanoTime();
			try {
				this.out.write(frame);
			}
			finally {
				this.writeBegan = NOT_WRITING;
			}
		}
		this.bytesSent.addAndGet(frame.length);
	}

	/**
	 * Returns whether a write has been blocked for some time, because the peer does not
	 * read.
	 * @param now the current {@link System#nanoTime()}
	 * @param nanos the time
	 * @return whether it has
	 */
	public boolean isWriteBlocked(long now, long nanos) {
		long began = this.writeBegan;
		return began != NOT_WRITING && now - began > nanos;
	}

	/**
	 * Returns the number of bytes written.
	 * @return the number, with lengths
	 */
	public long bytesSent() {
		return this.bytesSent.get();
	}

	/**
	 * Returns the number of bytes read.
	 * @return the number, with lengths
	 */
	public long bytesReceived() {
		return this.bytesReceived.get();
	}

	/**
	 * Closes the socket; threads blocked in it get an {@link IOException}.
	 */
	@Override
	public void close() {
		try {
			this.socket.close();
		}
		catch (IOException ex) {
			// The socket is unusable either way.
		}
	}

}
