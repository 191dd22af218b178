package org.banyanstile.server.caller;

import org.jspecify.annotations.Nullable;

/**
 * A complete response of an endpoint, small enough to be stored.
 *
 * @param status status code
 * @param contentType media type, or {@code null} if the response has none
 * @param body the body as text
 * @author banyanstile contributors
 */
public record StoredAnswer(int status, @Nullable String contentType, String body) {

}
