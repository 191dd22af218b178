package org.banyanstile.server.endpoint;

import java.time.Duration;
import java.util.Map;

/**
 * A call of a plain service.
 *
 * @param method request method
 * @param path path with query
 * @param headers header fields to forward, without any key
 * @param body the body
 * @param timeout longest wait for the answer
 * @author banyanstile contributors
 */
public record ServiceCall(String method, String path, Map<String, String> headers, byte[] body, Duration timeout) {

}
