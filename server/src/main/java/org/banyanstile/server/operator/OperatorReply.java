package org.banyanstile.server.operator;

import org.banyanstile.config.api.ApiJson;
import org.banyanstile.config.api.OperatorError;

/**
 * Response to an operator.
 *
 * @param status the HTTP status
 * @param contentType type of the body
 * @param body the body
 * @author banyanstile contributors
 */
record OperatorReply(int status, String contentType, String body) {

	private static final String JSON = "application/json";

	static OperatorReply json(int status, Object message) {
		return new OperatorReply(status, JSON, ApiJson.write(message));
	}

	static OperatorReply error(int status, String type, String message) {
		return json(status, new OperatorError(type, message));
	}

}
