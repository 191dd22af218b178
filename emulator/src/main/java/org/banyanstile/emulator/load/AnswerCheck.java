package org.banyanstile.emulator.load;

import org.banyanstile.emulator.engine.EngineText;
import org.jspecify.annotations.Nullable;

/**
 * Verifies a response word by word: the words of this request, without gap or duplicate.
 *
 * @author banyanstile contributors
 */
public final class AnswerCheck {

	private final String digest;

	private final int length;

	private int words;

	private @Nullable String fault;

	/**
	 * Creates the check of a response that has not begun.
	 * @param request the request
	 */
	public AnswerCheck(TextRequest request) {
		this.digest = EngineText.digest(request.prompt());
		this.length = request.answerLength();
	}

	/**
	 * Accepts the next event with text.
	 * @param offset offset of the event
	 * @param text the text
	 */
	public void accept(long offset, String text) {
		String word = EngineText.word(this.digest, this.words);
		if (offset != this.words) {
			fail("got offset " + offset + " after " + this.words + " words");
		}
		else if (!text.strip().equals(word)) {
			fail("got '" + text.strip() + "', expected '" + word + "'");
		}
		this.words++;
	}

	/**
	 * Accepts the end of the response.
	 */
	public void end() {
		if (this.words != this.length) {
			fail("response ended after " + this.words + " of " + this.length + " words");
		}
	}

	private void fail(String message) {
		if (this.fault == null) {
			this.fault = message;
		}
	}

	/**
	 * Returns the number of words received.
	 * @return the number
	 */
	public int words() {
		return this.words;
	}

	/**
	 * Returns the first fault of the response.
	 * @return the fault, or {@code null} if there is none
	 */
	public @Nullable String fault() {
		return this.fault;
	}

}
