package org.banyanstile.server.caller;

import org.jspecify.annotations.Nullable;

/**
 * Fleet-wide directory of the streams that run.
 *
 * @author banyanstile contributors
 */
public interface StreamDirectory {

	/**
	 * Announces a stream of this VM.
	 * @param key identity of the request
	 * @param location where it runs
	 */
	void announce(StreamKey key, StreamLocation location);

	/**
	 * Removes a stream of this VM.
	 * @param key identity of the request
	 * @param location where it ran
	 */
	void withdraw(StreamKey key, StreamLocation location);

	/**
	 * Finds a stream that another VM serves and makes that VM end its connection to the
	 * caller, without cancelling the stream at the engine.
	 * @param key identity of the request
	 * @return where the stream runs, or {@code null} if no other VM serves it
	 */
	@Nullable
	StreamLocation takeOver(StreamKey key);

}
