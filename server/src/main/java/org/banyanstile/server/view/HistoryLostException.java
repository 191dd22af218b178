package org.banyanstile.server.view;

import java.io.Serial;

/**
 * The store no longer has the changes after the requested version, so the whole table has
 * to be read.
 *
 * @author banyanstile contributors
 */
public final class HistoryLostException extends TableSourceException {

	@Serial
	private static final long serialVersionUID = 1L;

	/**
	 * Creates an exception.
	 * @param message what was requested
	 */
	public HistoryLostException(String message) {
		super(message, null);
	}

}
