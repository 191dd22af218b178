package org.banyanstile.server.caller;

/**
 * Fleet-wide directory of the requests that generate text, by idempotency key.
 *
 * @author banyanstile contributors
 */
public interface StreamDirectory {

	/**
	 * Makes this VM the one that serves a request. The VM that served it before, if any,
	 * ends its connection to the caller without cancelling the stream at the engine.
	 * @param key identity of the request
	 * @param bodyHash hash of the request body, in hexadecimal
	 * @return whether and where a stream of the request runs
	 */
	TakeoverResult takeOver(StreamKey key, String bodyHash);

	/**
	 * Announces where a stream of this VM runs.
	 * @param key identity of the request
	 * @param location where it runs
	 */
	void announce(StreamKey key, StreamLocation location);

	/**
	 * Removes a request that this VM no longer serves.
	 * @param key identity of the request
	 */
	void withdraw(StreamKey key);

}
