package org.banyanstile.io.http;

import java.io.IOException;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Counts the bytes of a response that are no body: status line, header fields,
 * informational responses, and the framing of chunks. Undertow's client reads such bytes
 * without a limit, so a peer that never ends them would fill the memory of this process.
 *
 * @author banyanstile contributors
 */
final class ResponseOverhead {

	/**
	 * Largest number of bytes that are no body, beside those in proportion to the body.
	 */
	static final long MAX_BYTES = 128 * 1024;

	/**
	 * Framing bytes that are accepted for a byte of the body. A chunk of one byte has
	 * five of them.
	 */
	static final long MAX_FRAMING_RATIO = 8;

	private final AtomicLong remaining = new AtomicLong(MAX_BYTES);

	/**
	 * Starts the count of the next response on the connection.
	 */
	void reset() {
		this.remaining.set(MAX_BYTES);
	}

	/**
	 * Records bytes that the peer sent.
	 * @param bytes number of bytes
	 * @throws IOException if the response has too many bytes that are no body
	 */
	void received(long bytes) throws IOException {
		if (bytes > 0 && this.remaining.addAndGet(-bytes) < 0) {
			throw new IOException("the response has more than " + MAX_BYTES + " bytes outside its body");
		}
	}

	/**
	 * Records bytes of the body.
	 * @param bytes number of bytes
	 */
	void body(long bytes) {
		if (bytes > 0) {
			this.remaining.addAndGet(bytes * (1 + MAX_FRAMING_RATIO));
		}
	}

}
