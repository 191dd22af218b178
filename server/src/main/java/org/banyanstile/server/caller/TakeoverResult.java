package org.banyanstile.server.caller;

/**
 * Result of taking over a request from the VM that serves it.
 *
 * @author banyanstile contributors
 */
public sealed interface TakeoverResult {

	/**
	 * No other VM serves the request.
	 *
	 * @author banyanstile contributors
	 */
	record NotRunning() implements TakeoverResult {

	}

	/**
	 * The stream continues at the engine, and the other VM has ended its connection.
	 *
	 * @param location where the stream runs
	 * @author banyanstile contributors
	 */
	record Taken(StreamLocation location) implements TakeoverResult {

	}

	/**
	 * The running request with this idempotency key has another body.
	 *
	 * @author banyanstile contributors
	 */
	record OtherBody() implements TakeoverResult {

	}

}
