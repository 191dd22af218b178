package org.banyanstile.server.endpoint;

import org.jspecify.annotations.Nullable;

/**
 * Response of a plain service.
 *
 * @param status status code
 * @param contentType media type, or {@code null} if the response has none
 * @param body the body
 * @author banyanstile contributors
 */
public record ServiceResponse(int status, @Nullable String contentType, byte[] body) {

}
