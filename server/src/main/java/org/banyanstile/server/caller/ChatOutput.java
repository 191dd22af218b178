package org.banyanstile.server.caller;

import java.io.IOException;

/**
 * Writes generated text to the caller.
 *
 * @author banyanstile contributors
 */
interface ChatOutput {

	/**
	 * Writes a token.
	 * @param offset its offset
	 * @param text its text
	 * @throws IOException if the caller has disconnected
	 */
	void token(long offset, String text) throws IOException;

	/**
	 * Keeps the connection alive while the engine sends nothing.
	 * @throws IOException if the caller has disconnected
	 */
	void keepAlive() throws IOException;

	/**
	 * Completes the response.
	 * @param finish {@code stop} or {@code length}
	 * @param tokens number of tokens of the whole response
	 * @throws IOException if the caller has disconnected
	 */
	void finish(String finish, long tokens) throws IOException;

	/**
	 * Ends the response with an error.
	 * @param ex the error
	 * @throws IOException if the caller has disconnected
	 */
	void fail(RequestException ex) throws IOException;

	/**
	 * Returns whether the caller may have received generated text.
	 * @return whether it may
	 */
	boolean hasSentText();

}
