package org.banyanstile.server.endpoint;

import java.time.Duration;

import com.fasterxml.jackson.databind.JsonNode;
import org.banyanstile.io.http.HttpException;
import org.banyanstile.io.http.HttpResponse;
import org.banyanstile.io.http.ResponseTimeoutException;
import org.jspecify.annotations.Nullable;

/**
 * Stream of generated text that survives broken connections: each chunk must carry the
 * request's identifier and the next offset; otherwise the connection is closed and the
 * stream resumes at the exact offset. Used by one thread.
 *
 * @author banyanstile contributors
 */
public final class AnswerStream implements AutoCloseable {

	private static final int MAX_LINE = 256 * 1024;

	/**
	 * Failures in a row without a new token before the stream is given up.
	 */
	private static final int MAX_FAILURES = 6;

	private static final long BACKOFF_MILLIS = 50;

	/**
	 * A healthy engine sends a token every 26 ms, so a connection that is silent this
	 * long has probably lost its peer without a reset.
	 */
	private static final long SILENCE_NANOS = Duration.ofSeconds(5).toNanos();

	private final EngineClient engine;

	private final String address;

	private final String requestId;

	private final int maxTokens;

	private long nextOffset;

	private int failures;

	private int resumes;

	private long lastEvent = System.nanoTime();

	private boolean opened;

	private @Nullable HttpResponse connection;

	AnswerStream(EngineClient engine, String address, String requestId, int maxTokens, long fromOffset) {
		this.engine = engine;
		this.address = address;
		this.requestId = requestId;
		this.maxTokens = maxTokens;
		this.nextOffset = fromOffset;
	}

	/**
	 * Waits for the next event.
	 * @param wait longest wait for it
	 * @return the event
	 * @throws StreamLostException if the engine lost the stream or stays unreachable
	 * @throws EndpointException if the engine refused to start the stream
	 */
	public DecodeEvent next(Duration wait) throws EndpointException {
		try {
			DecodeEvent event = read(connect(wait), wait);
			if (!(event instanceof DecodeEvent.Silent)) {
				this.failures = 0;
			}
			return event;
		}
		catch (EndpointRefusedException ex) {
			close();
			if (!this.opened || ex.status() == 429 || ex.status() == 503) {
				return refused(ex);
			}
			throw new StreamLostException("engine no longer has the stream", ex);
		}
		catch (EndpointUnreachableException | EndpointBrokenException ex) {
			close();
			return isOnlySilent(ex) ? new DecodeEvent.Silent() : failed(ex);
		}
	}

	private DecodeEvent refused(EndpointRefusedException ex) throws EndpointException {
		if (!this.opened) {
			throw ex;
		}
		return failed(ex);
	}

	private DecodeEvent failed(EndpointException ex) throws EndpointException {
		this.failures++;
		this.resumes++;
		this.lastEvent = System.nanoTime();
		if (this.failures >= MAX_FAILURES || Thread.currentThread().isInterrupted()) {
			throw new StreamLostException("engine stays unreachable", ex);
		}
		try {
			Thread.sleep(BACKOFF_MILLIS * this.failures);
		}
		catch (InterruptedException interrupted) {
			Thread.currentThread().interrupt();
		}
		return new DecodeEvent.Silent();
	}

	private boolean isOnlySilent(EndpointException ex) {
		// An engine may send the head of its response together with the first token.
		return ex.getCause() instanceof ResponseTimeoutException && System.nanoTime() - this.lastEvent < SILENCE_NANOS;
	}

	private HttpResponse connect(Duration wait) throws EndpointException {
		HttpResponse current = this.connection;
		if (current == null) {
			current = this.engine.openDecode(this.address, this.requestId, this.maxTokens, this.nextOffset, wait);
			this.connection = current;
			this.opened = true;
			this.lastEvent = System.nanoTime();
		}
		return current;
	}

	private DecodeEvent read(HttpResponse response, Duration wait) throws EndpointException {
		response.setReadTimeout(wait);
		try {
			String line = response.line(MAX_LINE);
			if (line == null) {
				throw new EndpointBrokenException("stream ended before the answer was complete", null);
			}
			this.lastEvent = System.nanoTime();
			return event(EndpointJson.read(line));
		}
		catch (ResponseTimeoutException ex) {
			if (System.nanoTime() - this.lastEvent < SILENCE_NANOS) {
				return new DecodeEvent.Silent();
			}
			throw new EndpointBrokenException("engine is silent", ex);
		}
		catch (HttpException ex) {
			throw EngineClient.failure(ex);
		}
	}

	private DecodeEvent event(JsonNode node) throws EndpointException {
		if (!node.path("requestId").asText().equals(this.requestId)) {
			throw new EndpointBrokenException("chunk belongs to another request", null);
		}
		if (node.path("offset").asLong(-1) != this.nextOffset) {
			throw new EndpointBrokenException("chunk is not at offset " + this.nextOffset, null);
		}
		if (node.has("finish")) {
			return new DecodeEvent.Finished(this.nextOffset, node.path("finish").asText());
		}
		if (!node.path("text").isTextual()) {
			throw new EndpointBrokenException("chunk has no text", null);
		}
		return new DecodeEvent.Chunk(this.nextOffset++, node.path("text").asText());
	}

	/**
	 * Returns the offset of the next token.
	 * @return the offset
	 */
	public long nextOffset() {
		return this.nextOffset;
	}

	/**
	 * Returns how often the stream had to be resumed.
	 * @return the number
	 */
	public int resumes() {
		return this.resumes;
	}

	/**
	 * Closes the connection; the engine keeps the stream.
	 */
	@Override
	public void close() {
		HttpResponse current = this.connection;
		this.connection = null;
		if (current != null) {
			current.close();
		}
	}

}
