package org.banyanstile.io.http;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/**
 * Body of a request or a response, buffered in chunks, so that it grows without being
 * copied. Not safe for use by several threads.
 *
 * @author banyanstile contributors
 */
public final class BodyChunks {

	/**
	 * Size of a chunk in bytes, that of the buffers of a connection.
	 */
	public static final int CHUNK_BYTES = 16 * 1024;

	private final List<byte[]> chunks = new ArrayList<>();

	private int size;

	private int lastChunkUsed;

	private BodyChunks() {
	}

	/**
	 * Creates an empty body.
	 * @return the body
	 */
	public static BodyChunks create() {
		return new BodyChunks();
	}

	/**
	 * Creates a body of one chunk.
	 * @param bytes the bytes, which are not copied
	 * @return the body
	 */
	public static BodyChunks of(byte[] bytes) {
		BodyChunks body = new BodyChunks();
		if (bytes.length > 0) {
			body.addChunk(bytes);
			body.size = bytes.length;
			body.lastChunkUsed = bytes.length;
		}
		return body;
	}

	private void addChunk(byte[] chunk) {
		this.chunks.add(chunk);
		this.lastChunkUsed = 0;
	}

	private int free() {
		return this.chunks.isEmpty() ? 0 : this.chunks.get(this.chunks.size() - 1).length - this.lastChunkUsed;
	}

	/**
	 * Appends bytes, as far as there is memory for them.
	 * @param bytes the bytes, which are read up to the last one that was appended
	 * @param expected number of bytes that are still to come, these included, or -1 if it
	 * is not known
	 * @param memory asked for each new chunk
	 * @return whether there was memory for all of them
	 */
	public boolean append(ByteBuffer bytes, long expected, BodyMemory memory) {
		long remaining = expected;
		while (bytes.hasRemaining()) {
			if (free() == 0) {
				int length = (remaining > 0) ? (int) Math.min(remaining, CHUNK_BYTES) : CHUNK_BYTES;
				if (!memory.tryAcquire(length)) {
					return false;
				}
				addChunk(new byte[length]);
			}
			int n = Math.min(free(), bytes.remaining());
			bytes.get(this.chunks.get(this.chunks.size() - 1), this.lastChunkUsed, n);
			this.lastChunkUsed += n;
			this.size += n;
			remaining -= n;
		}
		return true;
	}

	/**
	 * Returns the size of the body.
	 * @return the number of bytes
	 */
	public int size() {
		return this.size;
	}

	/**
	 * Writes the body.
	 * @param out stream to write to
	 * @throws IOException if the stream fails
	 */
	public void writeTo(OutputStream out) throws IOException {
		for (int i = 0; i < this.chunks.size(); i++) {
			byte[] chunk = this.chunks.get(i);
			out.write(chunk, 0, (i == this.chunks.size() - 1) ? this.lastChunkUsed : chunk.length);
		}
	}

	/**
	 * Copies the body.
	 * @return the bytes
	 */
	public byte[] toByteArray() {
		ByteBuffer copy = ByteBuffer.allocate(this.size);
		for (byte[] chunk : this.chunks) {
			copy.put(chunk, 0, Math.min(chunk.length, copy.remaining()));
		}
		return copy.array();
	}

}
