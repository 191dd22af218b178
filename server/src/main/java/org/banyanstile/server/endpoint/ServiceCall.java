package org.banyanstile.server.endpoint;

import java.time.Duration;
import java.util.Map;

/**
 * A call to a plain service.
 *
 * @param method HTTP method
 * @param path path with query
 * @param headers header fields to send; they contain no API key
 * @param body the body
 * @param timeout maximum time to wait for the response
 * @author banyanstile contributors
 */
public record ServiceCall(String method, String path, Map<String, String> headers, byte[] body, Duration timeout) {

}
