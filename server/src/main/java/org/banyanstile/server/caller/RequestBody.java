package org.banyanstile.server.caller;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.concurrent.TimeUnit;

import io.undertow.server.HttpServerExchange;
import org.xnio.channels.StreamSourceChannel;

/**
 * Reads a request body, with limits on its size and on the time for reading it.
 *
 * @author banyanstile contributors
 */
final class RequestBody {

	private static final long READ_TIMEOUT_NANOS = Duration.ofSeconds(10).toNanos();

	private static final int BUFFER_BYTES = 8192;

	private RequestBody() {
	}

	static byte[] read(HttpServerExchange exchange, int maxBytes) throws RequestException, IOException {
		if (exchange.getRequestContentLength() > maxBytes) {
			throw tooLarge(maxBytes);
		}
		StreamSourceChannel channel = exchange.getRequestChannel();
		if (channel == null) {
			return new byte[0];
		}
		ByteArrayOutputStream body = new ByteArrayOutputStream();
		ByteBuffer buffer = ByteBuffer.allocate(BUFFER_BYTES);
		long deadline = System.nanoTime() + READ_TIMEOUT_NANOS;
		int bytesRead = channel.read(buffer);
		while (bytesRead >= 0) {
			body.write(buffer.array(), 0, buffer.position());
			buffer.clear();
			if (body.size() > maxBytes) {
				throw tooLarge(maxBytes);
			}
			long remainingNanos = deadline - System.nanoTime();
			if (remainingNanos <= 0) {
				throw new IOException("request body was not received within 10 s");
			}
			if (bytesRead == 0) {
				channel.awaitReadable(remainingNanos, TimeUnit.NANOSECONDS);
			}
			bytesRead = channel.read(buffer);
		}
		return body.toByteArray();
	}

	private static RequestException tooLarge(int maxBytes) {
		return RequestException.notRun(ErrorType.BODY_TOO_LARGE, "the body is larger than " + maxBytes + " bytes");
	}

}
