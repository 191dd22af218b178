package org.banyanstile.server.caller;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

import io.micrometer.core.instrument.Timer;
import org.banyanstile.server.endpoint.DecodeEvent;
import org.banyanstile.server.endpoint.DecodeStream;
import org.banyanstile.server.endpoint.EndpointException;
import org.jspecify.annotations.Nullable;

/**
 * Relays the tokens of a stream to the caller. Ends the stream when the caller
 * disconnects, the key is withdrawn, this VM stops serving or the engine fails. Used by
 * one thread, except that the handover is read after the request has ended.
 *
 * @author banyanstile contributors
 */
final class ChatRelay {

	/**
	 * Maximum wait for a token before a keep-alive is written, because a disconnect must
	 * be detected within 1 s.
	 */
	private static final Duration TOKEN_WAIT = Duration.ofMillis(500);

	private static final long RENEWAL_INTERVAL_NANOS = Duration.ofSeconds(3).toNanos();

	/**
	 * Time for another VM to take over a stream after this VM has stopped serving.
	 */
	private static final long TAKEOVER_TIMEOUT_MILLIS = 5000;

	private final RequestServices services;

	private final ChatRequest chat;

	private final ChatOutput output;

	private final CallControl control;

	private final RequestLabels labels;

	private final long lastEventId;

	private final @Nullable StreamKey key;

	private final Timer interToken;

	private final long startedAt = System.nanoTime();

	private final List<String> tokens = new ArrayList<>();

	private long firstTokenAt;

	private long lastTokenAt;

	private long renewedAt;

	private volatile @Nullable StreamHandle handover;

	ChatRelay(RequestServices services, ChatRequest chat, ChatOutput output, CallControl control, RequestLabels labels,
			long lastEventId, @Nullable StreamKey key) {
		this.services = services;
		this.chat = chat;
		this.output = output;
		this.control = control;
		this.labels = labels;
		this.lastEventId = lastEventId;
		this.key = key;
		this.interToken = services.metrics().interToken(labels);
	}

	/**
	 * Relays a stream from its first token. Tokens that the caller already has are not
	 * sent again.
	 * @param stream the stream
	 * @param bodyHash hash of the request body
	 * @throws RequestException if the request was aborted
	 * @throws EndpointException if the engine lost the stream
	 * @throws IOException if the caller has disconnected
	 */
	void run(StreamHandle stream, String bodyHash) throws RequestException, EndpointException, IOException {
		SlotOutcome outcome = SlotOutcome.CANCELLED;
		boolean release = true;
		String address = stream.slot().endpoint().address();
		this.tokens.clear();
		this.renewedAt = System.nanoTime();
		try (DecodeStream decodeStream = this.services.engine()
			.decode(address, stream.requestId(), this.chat.maxTokens(), 0)) {
			announce(stream, bodyHash);
			String finish = relay(decodeStream, stream);
			outcome = SlotOutcome.COMPLETED;
			complete(finish, bodyHash, decodeStream);
		}
		catch (EndpointException ex) {
			outcome = EngineRun.outcome(ex);
			throw ex;
		}
		finally {
			if (outcome != SlotOutcome.COMPLETED) {
				release = endIncomplete(stream);
			}
			if (release) {
				this.services.slots().release(stream.slot(), outcome);
			}
		}
	}

	private void announce(StreamHandle stream, String bodyHash) {
		StreamKey present = this.key;
		if (present != null) {
			this.services.directory()
				.announce(present, new StreamLocation(stream.requestId(), stream.slot().endpoint().id(), bodyHash));
		}
	}

	private String relay(DecodeStream decodeStream, StreamHandle stream)
			throws RequestException, EndpointException, IOException {
		while (true) {
			this.control.throwIfAborted();
			renew(stream);
			DecodeEvent event = decodeStream.next(TOKEN_WAIT);
			if (event instanceof DecodeEvent.Finished finished) {
				this.control.throwIfAborted();
				return finished.reason();
			}
			if (event instanceof DecodeEvent.Chunk chunk) {
				forward(chunk);
			}
			else {
				this.output.keepAlive();
			}
		}
	}

	private void forward(DecodeEvent.Chunk chunk) throws IOException {
		this.tokens.add(chunk.text());
		if (chunk.offset() <= this.lastEventId) {
			return;
		}
		long now = System.nanoTime();
		if (this.firstTokenAt == 0) {
			this.firstTokenAt = now;
			this.services.metrics().firstToken(this.labels).record(now - this.startedAt, TimeUnit.NANOSECONDS);
		}
		else {
			this.interToken.record(now - this.lastTokenAt, TimeUnit.NANOSECONDS);
		}
		this.lastTokenAt = now;
		this.output.token(chunk.offset(), chunk.text());
	}

	private void renew(StreamHandle stream) {
		long now = System.nanoTime();
		if (now - this.renewedAt >= RENEWAL_INTERVAL_NANOS) {
			this.renewedAt = now;
			this.services.slots().renew(stream.slot());
		}
	}

	private void complete(String finish, String bodyHash, DecodeStream decodeStream) throws IOException {
		StreamKey present = this.key;
		if (present != null) {
			this.services.responses().put(present, new CachedResponse(bodyHash, List.copyOf(this.tokens), finish));
		}
		this.services.metrics().resumed(this.labels, decodeStream.resumeCount());
		this.output.finish(finish, this.tokens.size());
		this.services.metrics().answered(this.labels);
		long gaps = Math.max(1, this.tokens.size() - 1);
		this.services.metrics()
			.recordLatency(this.labels, this.firstTokenAt - this.startedAt,
					(this.lastTokenAt - this.firstTokenAt) / gaps);
	}

	/**
	 * Cancels a stream that is not complete, or leaves it to a newer request or another
	 * VM.
	 * @param stream the stream
	 * @return whether its slot must be released
	 */
	private boolean endIncomplete(StreamHandle stream) {
		String address = stream.slot().endpoint().address();
		AbortReason reason = this.control.reason();
		if (this.key != null && reason == AbortReason.SUPERSEDED) {
			this.handover = stream;
			return false;
		}
		if (this.key != null && reason == AbortReason.NOT_SERVING) {
			this.services.canceller()
				.cancelUnlessTakenOver(address, stream.requestId(), this.services.engine().holder(),
						TAKEOVER_TIMEOUT_MILLIS);
			return false;
		}
		this.services.canceller().cancel(address, stream.requestId());
		this.services.metrics().cancelled(this.labels);
		return true;
	}

	/**
	 * Returns the stream that continues at the engine for a repeated request.
	 * @return the stream, or {@code null}
	 */
	@Nullable
	StreamHandle handover() {
		return this.handover;
	}

	boolean handedOver() {
		return this.handover != null;
	}

	/**
	 * Returns the number of tokens that the request has used.
	 * @return the number
	 */
	long usedTokens() {
		return this.tokens.isEmpty() ? 0 : (long) this.chat.promptTokens() + this.tokens.size();
	}

}
