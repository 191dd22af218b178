package org.banyanstile.server.endpoint;

import java.time.Duration;

import com.fasterxml.jackson.databind.JsonNode;
import org.banyanstile.io.http.HttpException;
import org.banyanstile.io.http.HttpResponse;
import org.banyanstile.io.http.ResponseTimeoutException;
import org.jspecify.annotations.Nullable;

/**
 * Stream of generated text that reconnects after a broken connection. Each chunk must
 * carry the request's identifier and the next offset; otherwise the connection is closed
 * and the stream resumes at the next offset. Used by one thread.
 *
 * @author banyanstile contributors
 */
public final class DecodeStream implements AutoCloseable {

	/**
	 * Largest event, many times that of the longest token of a vocabulary.
	 */
	private static final int MAX_LINE_BYTES = 16 * 1024;

	/**
	 * Largest text of a response, as of a response of a plain service.
	 */
	private static final int MAX_TEXT_CHARACTERS = 1024 * 1024;

	/**
	 * Number of failures without new data after which the stream is reported as lost.
	 */
	private static final int MAX_CONSECUTIVE_FAILURES = 6;

	private static final long BACKOFF_MILLIS = 50;

	/**
	 * A healthy engine sends a token every 26 ms, so a connection without data for this
	 * long is probably dead although no reset was received.
	 */
	private static final long SILENCE_TIMEOUT_NANOS = Duration.ofSeconds(5).toNanos();

	private final EngineClient engine;

	private final String address;

	private final String requestId;

	private final int maxTokens;

	private long nextOffset;

	private int textCharacters;

	private int consecutiveFailures;

	private int resumeCount;

	private long lastEventNanos = System.nanoTime();

	private boolean opened;

	private boolean mayHaveStarted;

	private @Nullable HttpResponse connection;

	DecodeStream(EngineClient engine, String address, String requestId, int maxTokens, long fromOffset) {
		this.engine = engine;
		this.address = address;
		this.requestId = requestId;
		this.maxTokens = maxTokens;
		this.nextOffset = fromOffset;
	}

	/**
	 * Waits for the next event.
	 * @param wait maximum time to wait
	 * @return the event
	 * @throws StreamLostException if the engine lost the stream or it could not be
	 * resumed
	 * @throws EndpointException if the engine refused to start the stream
	 */
	public DecodeEvent next(Duration wait) throws EndpointException {
		try {
			DecodeEvent event = read(connect(wait), wait);
			if (!(event instanceof DecodeEvent.Silent)) {
				this.consecutiveFailures = 0;
			}
			return event;
		}
		catch (EndpointRefusedException ex) {
			close();
			return handleRefusal(ex);
		}
		catch (EndpointUnreachableException | EndpointBrokenException ex) {
			close();
			this.mayHaveStarted |= ex instanceof EndpointBrokenException;
			return isWithinSilenceTimeout(ex) ? new DecodeEvent.Silent() : recordFailure(ex);
		}
	}

	private DecodeEvent handleRefusal(EndpointRefusedException ex) throws EndpointException {
		if (!this.opened) {
			// The refusal does not cover an earlier connection that broke.
			throw this.mayHaveStarted ? new StreamLostException("engine refused a stream that it may have started", ex)
					: ex;
		}
		if (ex.status() == 429 || ex.status() == 503) {
			return recordFailure(ex);
		}
		throw new StreamLostException("engine no longer has the stream", ex);
	}

	private DecodeEvent recordFailure(EndpointException ex) throws EndpointException {
		this.consecutiveFailures++;
		this.resumeCount++;
		this.lastEventNanos = System.nanoTime();
		if (this.consecutiveFailures >= MAX_CONSECUTIVE_FAILURES || Thread.currentThread().isInterrupted()) {
			throw new StreamLostException("stream could not be resumed", ex);
		}
		try {
			Thread.sleep(BACKOFF_MILLIS * this.consecutiveFailures);
		}
		catch (InterruptedException interrupted) {
			Thread.currentThread().interrupt();
		}
		return new DecodeEvent.Silent();
	}

	private boolean isWithinSilenceTimeout(EndpointException ex) {
		// An engine may send the response head only together with the first token.
		return ex.getCause() instanceof ResponseTimeoutException
				&& System.nanoTime() - this.lastEventNanos < SILENCE_TIMEOUT_NANOS;
	}

	private HttpResponse connect(Duration wait) throws EndpointException {
		HttpResponse current = this.connection;
		if (current == null) {
			current = this.engine.openDecode(this.address, this.requestId, this.maxTokens, this.nextOffset, wait);
			this.connection = current;
			this.opened = true;
			this.lastEventNanos = System.nanoTime();
		}
		return current;
	}

	private DecodeEvent read(HttpResponse response, Duration wait) throws EndpointException {
		response.setReadTimeout(wait);
		// Bytes that complete no line must not keep the caller from being served.
		response.setDeadline(wait);
		try {
			String line = response.line(MAX_LINE_BYTES);
			if (line == null) {
				throw new EndpointBrokenException("stream ended before the response was complete", null);
			}
			this.lastEventNanos = System.nanoTime();
			return event(EndpointJson.read(line));
		}
		catch (ResponseTimeoutException ex) {
			if (System.nanoTime() - this.lastEventNanos < SILENCE_TIMEOUT_NANOS) {
				return new DecodeEvent.Silent();
			}
			throw new EndpointBrokenException("engine sent nothing within the silence timeout", ex);
		}
		catch (HttpException ex) {
			throw EngineClient.toEndpointException(ex);
		}
	}

	private DecodeEvent event(JsonNode node) throws EndpointException {
		if (!node.path("requestId").asText().equals(this.requestId)) {
			throw new EndpointBrokenException("chunk belongs to another request", null);
		}
		if (node.path("offset").asLong(-1) != this.nextOffset) {
			throw new EndpointBrokenException("chunk does not have the expected offset " + this.nextOffset, null);
		}
		if (node.has("finish")) {
			return new DecodeEvent.Finished(this.nextOffset, node.path("finish").asText());
		}
		if (!node.path("text").isTextual()) {
			throw new EndpointBrokenException("chunk has no text", null);
		}
		String text = node.path("text").asText();
		this.textCharacters += text.length();
		if (this.nextOffset >= this.maxTokens || this.textCharacters > MAX_TEXT_CHARACTERS) {
			throw new StreamLostException(
					"engine sent more than " + this.maxTokens + " tokens or " + MAX_TEXT_CHARACTERS + " characters",
					null);
		}
		return new DecodeEvent.Chunk(this.nextOffset++, text);
	}

	/**
	 * Returns the offset of the next token.
	 * @return the offset
	 */
	public long nextOffset() {
		return this.nextOffset;
	}

	/**
	 * Returns how often the stream was resumed.
	 * @return the number
	 */
	public int resumeCount() {
		return this.resumeCount;
	}

	/**
	 * Closes the connection without cancelling the stream at the engine.
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
