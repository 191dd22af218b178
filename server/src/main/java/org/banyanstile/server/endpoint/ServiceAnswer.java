package org.banyanstile.server.endpoint;

import org.jspecify.annotations.Nullable;

/**
 * Answer of a plain service.
 *
 * @param status status code
 * @param contentType media type, or {@code null} if the service gave none
 * @param body the body
 * @author banyanstile contributors
 */
public record ServiceAnswer(int status, @Nullable String contentType, byte[] body) {

}
