package org.banyanstile.server.endpoint;

/**
 * Next event of a stream of generated text.
 *
 * @author banyanstile contributors
 */
public sealed interface DecodeEvent {

	/**
	 * One token of text.
	 *
	 * @param offset offset of the token, counted from 0
	 * @param text the text
	 * @author banyanstile contributors
	 */
	record Chunk(long offset, String text) implements DecodeEvent {

	}

	/**
	 * The response is complete.
	 *
	 * @param offset number of tokens of the whole response
	 * @param reason {@code stop} or {@code length}
	 * @author banyanstile contributors
	 */
	record Finished(long offset, String reason) implements DecodeEvent {

	}

	/**
	 * The engine sent nothing within the requested wait.
	 *
	 * @author banyanstile contributors
	 */
	record Silent() implements DecodeEvent {

	}

}
