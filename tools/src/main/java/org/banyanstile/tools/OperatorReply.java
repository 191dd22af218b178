package org.banyanstile.tools;

import org.banyanstile.config.api.ApiFormatException;
import org.banyanstile.config.api.ApiJson;
import org.banyanstile.config.api.OperatorError;

/**
 * Reply of a daemon.
 *
 * @param address address of the daemon
 * @param status the HTTP status
 * @param body the body
 * @author banyanstile contributors
 */
record OperatorReply(String address, int status, String body) {

	private static final int OK = 200;

	/**
	 * Reads the message of a reply with status 200.
	 * @param type type of the message
	 * @param <T> type of the message
	 * @return the message
	 * @throws RefusedException if the status differs, or the body is not such a message
	 */
	<T> T message(Class<T> type) throws RefusedException {
		if (this.status != OK) {
			throw new RefusedException(error());
		}
		return read(type);
	}

	/**
	 * Reads the message of a reply with any status.
	 * @param type type of the message
	 * @param <T> type of the message
	 * @return the message
	 * @throws RefusedException if the body is not such a message
	 */
	<T> T read(Class<T> type) throws RefusedException {
		try {
			return ApiJson.read(this.body, type);
		}
		catch (ApiFormatException ex) {
			throw new RefusedException(
					this.address + " sent an unexpected reply with status " + this.status + ": " + ex.getMessage());
		}
	}

	/**
	 * Describes an error.
	 * @return the description
	 */
	String error() {
		try {
			OperatorError error = ApiJson.read(this.body, OperatorError.class);
			return this.address + " answered " + this.status + " " + error.type() + ": " + error.message();
		}
		catch (ApiFormatException ex) {
			return this.address + " answered " + this.status;
		}
	}

}
