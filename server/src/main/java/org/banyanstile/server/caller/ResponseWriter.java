package org.banyanstile.server.caller;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.concurrent.TimeUnit;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import org.jspecify.annotations.Nullable;
import org.xnio.channels.StreamSinkChannel;

/**
 * Writes a response, with a limit on the time that a slow caller can take for a write.
 * Used by one thread.
 *
 * @author banyanstile contributors
 */
final class ResponseWriter {

	private static final long WRITE_TIMEOUT_NANOS = Duration.ofSeconds(10).toNanos();

	private final HttpServerExchange exchange;

	private final CallerConnection connection;

	private @Nullable StreamSinkChannel channel;

	ResponseWriter(HttpServerExchange exchange, CallerConnection connection) {
		this.exchange = exchange;
		this.connection = connection;
	}

	boolean started() {
		return this.channel != null;
	}

	void start(int status, String contentType, long length) {
		this.exchange.setStatusCode(status);
		this.exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, contentType);
		if (length >= 0) {
			this.exchange.getResponseHeaders().put(Headers.CONTENT_LENGTH, length);
		}
		this.channel = this.exchange.getResponseChannel();
	}

	void write(byte[] bytes) throws IOException {
		StreamSinkChannel sink = sink();
		long deadline = System.nanoTime() + WRITE_TIMEOUT_NANOS;
		ByteBuffer buffer = ByteBuffer.wrap(bytes);
		while (buffer.hasRemaining()) {
			if (sink.write(buffer) == 0) {
				await(sink, deadline);
			}
		}
		flush(sink, deadline);
	}

	void end() throws IOException {
		// A caller may disconnect as soon as it has the last byte.
		this.connection.stop();
		StreamSinkChannel sink = sink();
		sink.shutdownWrites();
		flush(sink, System.nanoTime() + WRITE_TIMEOUT_NANOS);
		this.exchange.endExchange();
	}

	void send(int status, String contentType, byte[] body) throws IOException {
		start(status, contentType, body.length);
		write(body);
		end();
	}

	void sendError(RequestException ex) throws IOException {
		if (ex.retryAfterMillis() >= 0) {
			long seconds = Math.max(1, (ex.retryAfterMillis() + 999) / 1000);
			this.exchange.getResponseHeaders().put(Headers.RETRY_AFTER, seconds);
		}
		if (ex.type() == ErrorType.BODY_TOO_LARGE) {
			// The unread rest of the body must not be parsed as the next request.
			this.exchange.setPersistent(false);
		}
		send(ex.status(), "application/json", CallerJson.write(CallerJson.error(ex)));
	}

	private StreamSinkChannel sink() {
		StreamSinkChannel sink = this.channel;
		if (sink == null) {
			throw new IllegalStateException("response not started");
		}
		return sink;
	}

	private static void flush(StreamSinkChannel sink, long deadline) throws IOException {
		while (!sink.flush()) {
			await(sink, deadline);
		}
	}

	private static void await(StreamSinkChannel sink, long deadline) throws IOException {
		long remainingNanos = deadline - System.nanoTime();
		if (remainingNanos <= 0) {
			throw new IOException("caller accepted no data for 10 s");
		}
		sink.awaitWritable(remainingNanos, TimeUnit.NANOSECONDS);
	}

}
