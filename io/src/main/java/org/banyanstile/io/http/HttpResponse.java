package org.banyanstile.io.http;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import io.undertow.client.ClientResponse;
import io.undertow.util.HeaderValues;
import org.jspecify.annotations.Nullable;

/**
 * An HTTP response whose body is read by the calling thread. Not safe for use by several
 * threads, except that {@link #close()} may be called by any thread.
 * <p>
 * Closing a response before the end of its body closes the connection, so that the
 * remaining bytes cannot be read as the response to another request.
 *
 * @author banyanstile contributors
 */
public final class HttpResponse implements AutoCloseable {

	private static final int BUFFER_BYTES = 8192;

	private static final int NOT_MODIFIED = 304;

	private final HttpClient client;

	private final HttpRequest request;

	private final String address;

	private final HttpConnection connection;

	private final CallHandle handle;

	private final RequestWriter writer;

	private final ClientResponse response;

	private final ResponseReader reader;

	private final ByteBuffer buffer = ByteBuffer.allocate(BUFFER_BYTES).flip();

	private final ByteArrayOutputStream incompleteLine = new ByteArrayOutputStream();

	private Duration timeout;

	private @Nullable Long deadlineNanos;

	private boolean ended;

	private boolean reusable = true;

	private boolean closed;

	HttpResponse(HttpClient client, HttpRequest request, HttpConnection connection, CallHandle handle,
			RequestWriter writer, ClientResponse response, ResponseReader reader) {
		this.client = client;
		this.request = request;
		this.address = request.address();
		this.connection = connection;
		this.handle = handle;
		this.writer = writer;
		this.response = response;
		this.reader = reader;
		this.timeout = request.timeout();
	}

	/**
	 * Returns the status code.
	 * @return the status code
	 */
	public int status() {
		return this.response.getResponseCode();
	}

	/**
	 * Returns the first value of a header field.
	 * @param name the field name
	 * @return the value, or {@code null} if the field is absent
	 */
	public @Nullable String header(String name) {
		return this.response.getResponseHeaders().getFirst(name);
	}

	/**
	 * Returns the header fields in the order of the response.
	 * @return names and values
	 */
	public List<Map.Entry<String, String>> headers() {
		List<Map.Entry<String, String>> all = new ArrayList<>();
		for (HeaderValues values : this.response.getResponseHeaders()) {
			for (String value : values) {
				all.add(Map.entry(values.getHeaderName().toString(), value));
			}
		}
		return all;
	}

	/**
	 * Returns whether the response marks the end of its body. Otherwise the end of the
	 * connection ends it, so that a connection closed too early cannot be told from the
	 * end.
	 * @return whether it has a length or chunks
	 */
	public boolean isDelimited() {
		return header("Content-Length") != null || header("Transfer-Encoding") != null;
	}

	/**
	 * Returns the position of this exchange on its connection. Bytes of an earlier
	 * exchange can arrive late at every position but the first.
	 * @return the position, 1 for the first exchange
	 */
	public int exchangeNumber() {
		return this.connection.exchanges();
	}

	/**
	 * Prevents reuse of the connection for another request.
	 */
	public synchronized void discard() {
		this.reusable = false;
	}

	/**
	 * Waits for more bytes of the body.
	 * @return the bytes, which are valid until the next call, or {@code null} at the end
	 * of the body
	 * @throws HttpException if the connection broke or the read timed out
	 */
	public @Nullable ByteBuffer next() throws HttpException {
		if (!fill()) {
			return null;
		}
		ByteBuffer bytes = this.buffer.duplicate();
		this.buffer.position(this.buffer.limit());
		return bytes;
	}

	/**
	 * Sets the read timeout.
	 * @param timeout the longest time that a read waits for more bytes
	 */
	public void setReadTimeout(Duration timeout) {
		this.timeout = timeout;
	}

	/**
	 * Sets a deadline for all further reads, however often bytes arrive. Without one,
	 * single bytes can keep a reader waiting without end.
	 * @param time the time from now
	 */
	public void setDeadline(Duration time) {
		this.deadlineNanos = System.nanoTime() + time.toNanos();
	}

	/**
	 * Reads the rest of the body as UTF-8 text and releases the connection.
	 * @param maxBytes largest permitted size in bytes
	 * @return the text
	 * @throws HttpException if the connection broke, a read timed out, or the body is
	 * larger
	 */
	public String text(int maxBytes) throws HttpException {
		return new String(bytes(maxBytes), StandardCharsets.UTF_8);
	}

	/**
	 * Reads the rest of the body and releases the connection.
	 * @param maxBytes largest permitted size in bytes
	 * @return the bytes
	 * @throws HttpException if the connection broke, a read timed out, or the body is
	 * larger
	 */
	public byte[] bytes(int maxBytes) throws HttpException {
		return body(maxBytes, BodyMemory.UNLIMITED).toByteArray();
	}

	/**
	 * Reads the rest of the body in chunks and releases the connection. The memory for a
	 * body of known length is taken before its first byte is read.
	 * @param maxBytes largest permitted size in bytes
	 * @param memory memory for the body
	 * @return the body
	 * @throws BodyMemoryException if there is no memory for the body
	 * @throws HttpException if the connection broke, a read timed out, or the body is
	 * larger
	 */
	public BodyChunks body(int maxBytes, BodyMemory memory) throws HttpException {
		try (this) {
			long length = bodyLength();
			checkSize(length, maxBytes);
			if (length > 0 && !memory.tryAcquire(length)) {
				throw noMemory(length);
			}
			BodyChunks body = BodyChunks.create();
			while (fill()) {
				checkSize((long) body.size() + this.buffer.remaining(), maxBytes);
				if (!body.append(this.buffer, length - body.size(), (length > 0) ? BodyMemory.UNLIMITED : memory)) {
					throw noMemory((long) body.size() + this.buffer.remaining());
				}
			}
			return body;
		}
	}

	private void checkSize(long size, int maxBytes) throws ConnectionBrokenException {
		if (size > maxBytes) {
			throw new ConnectionBrokenException("response from " + this.address + " exceeds " + maxBytes + " bytes",
					null);
		}
	}

	private BodyMemoryException noMemory(long size) {
		return new BodyMemoryException("no memory for a response from " + this.address + " of " + size + " bytes");
	}

	// Returns the length of the body, or -1 if its head does not tell.
	private long bodyLength() {
		String length = header("Content-Length");
		if (length == null || this.request.method().equals("HEAD") || status() == NOT_MODIFIED) {
			return -1;
		}
		try {
			return Long.parseLong(length.strip());
		}
		catch (NumberFormatException ex) {
			return -1;
		}
	}

	/**
	 * Reads and discards the rest of the body and releases the connection.
	 * @param maxBytes largest permitted size in bytes
	 * @throws HttpException if the connection broke, a read timed out, or the body is
	 * larger
	 */
	public void drain(int maxBytes) throws HttpException {
		try (this) {
			long size = 0;
			while (fill()) {
				size += this.buffer.remaining();
				this.buffer.position(this.buffer.limit());
				checkSize(size, maxBytes);
			}
		}
	}

	/**
	 * Reads one line, without its line feed. After a timeout the next call continues the
	 * line.
	 * @param maxBytes largest permitted size of the line in bytes
	 * @return the line, or {@code null} at the end of the body
	 * @throws HttpException if the connection broke, a read timed out, or the line is
	 * longer
	 */
	public @Nullable String line(int maxBytes) throws HttpException {
		ByteArrayOutputStream out = this.incompleteLine;
		while (fill()) {
			byte b = this.buffer.get();
			if (b == '\n') {
				return completeLine();
			}
			out.write(b);
			if (out.size() > maxBytes) {
				throw new ConnectionBrokenException("line from " + this.address + " exceeds " + maxBytes + " bytes",
						null);
			}
		}
		return (out.size() > 0) ? completeLine() : null;
	}

	private String completeLine() {
		String line = this.incompleteLine.toString(StandardCharsets.UTF_8);
		this.incompleteLine.reset();
		return line;
	}

	/**
	 * Releases the connection. It can return to the pool if the exchange is complete and
	 * {@link #discard()} was not called, and is closed otherwise.
	 */
	@Override
	public synchronized void close() {
		if (this.closed) {
			return;
		}
		this.closed = true;
		boolean complete = this.ended && this.reusable && this.writer.isWritten();
		this.handle.release(this.connection);
		this.client.release(this.request, this.connection, complete);
	}

	private boolean fill() throws HttpException {
		if (this.buffer.hasRemaining()) {
			return true;
		}
		if (this.ended) {
			return false;
		}
		try {
			this.buffer.clear();
			this.ended = read() < 0;
			return !this.ended;
		}
		catch (IOException ex) {
			throw FramingException.toHttpException(this.address, ex);
		}
		finally {
			this.buffer.flip();
		}
	}

	private int read() throws IOException, ResponseTimeoutException {
		long waitMillis = this.timeout.toMillis();
		Long deadline = this.deadlineNanos;
		if (deadline != null) {
			waitMillis = Math.min(waitMillis, TimeUnit.NANOSECONDS.toMillis(deadline - System.nanoTime()));
			if (waitMillis <= 0) {
				throw new ResponseTimeoutException(this.address + " sent no complete response by the deadline", null);
			}
		}
		int n = this.reader.read(this.buffer, waitMillis);
		if (n == 0) {
			throw new ResponseTimeoutException(this.address + " sent no data for " + waitMillis + " ms", null);
		}
		return n;
	}

}
