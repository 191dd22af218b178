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
	 * Enters a request in place of an older one with the same key.
	 * @param key identity of the request
	 * @param mine the request
	 * @return the older request, which the caller must supersede, or {@code null}
	 * @throws RequestException if the older request has another body
	 */
	@Nullable
	RunningStream enter(StreamKey key, RunningStream mine) throws RequestException {
		AtomicReference<@Nullable RunningStream> older = new AtomicReference<>();
		RunningStream now = this.streams.compute(key, (same, existing) -> {
			older.set(existing);
			return (existing == null || existing.bodyHash().equals(mine.bodyHash())) ? mine : existing;
		});
		if (now != mine) {
			throw RequestException.notRun(ErrorType.KEY_REUSED, "the idempotency key was used with another body");
		}
		return older.get();
	}

	/**
	 * Removes a request.
	 * @param key identity of the request
	 * @param mine the request
	 * @return whether no newer request had taken its place
	 */
	boolean leave(StreamKey key, RunningStream mine) {
		return this.streams.remove(key, mine);
	}

	/**
	 * Ends a request of this VM because another VM serves its repeat.
	 * @param key identity of the request
	 * @return where its stream goes on, or {@code null} if it has none
	 */
	public @Nullable StreamLocation surrender(StreamKey key) {
		RunningStream stream = this.streams.get(key);
		Handover handover = (stream != null) ? stream.supersede() : null;
		if (stream == null || handover == null) {
			return null;
		}
		return new StreamLocation(handover.requestId(), handover.slot().endpoint().id(), stream.bodyHash());
	}

}
