package org.banyanstile.server.caller;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicReference;

import org.jspecify.annotations.Nullable;

/**
 * Requests with an idempotency key that this VM serves now.
 *
 * @author banyanstile contributors
 */
public final class RunningStreams {

	private final Map<StreamKey, RunningStream> streams = new ConcurrentHashMap<>();

	/**
	 * Registers a request, in place of a previous request with the same key.
	 * @param key identity of the request
	 * @param stream the request
	 * @return the previous request, which the calling code must supersede, or
	 * {@code null}
	 * @throws RequestException if the previous request has another body
	 */
	@Nullable
	RunningStream register(StreamKey key, RunningStream stream) throws RequestException {
		AtomicReference<@Nullable RunningStream> previous = new AtomicReference<>();
		RunningStream registered = this.streams.compute(key, (same, existing) -> {
			previous.set(existing);
			return (existing == null || existing.bodyHash().equals(stream.bodyHash())) ? stream : existing;
		});
		if (registered != stream) {
			throw RequestException.notRun(ErrorType.KEY_REUSED, "the idempotency key was used with another body");
		}
		return previous.get();
	}

	/**
	 * Unregisters a request.
	 * @param key identity of the request
	 * @param stream the request
	 * @return whether the request was still registered, that is, not replaced by a newer
	 * one
	 */
	boolean unregister(StreamKey key, RunningStream stream) {
		return this.streams.remove(key, stream);
	}

	/**
	 * Aborts a request on this VM because another VM serves a repeated request with the
	 * same key.
	 * @param key identity of the request
	 * @return where the stream continues, or {@code null} if there is none
	 */
	public @Nullable StreamLocation handOver(StreamKey key) {
		RunningStream stream = this.streams.get(key);
		StreamHandle handover = (stream != null) ? stream.supersede() : null;
		if (stream == null || handover == null) {
			return null;
		}
		return new StreamLocation(handover.requestId(), handover.slot().endpoint().id(), stream.bodyHash());
	}

}
