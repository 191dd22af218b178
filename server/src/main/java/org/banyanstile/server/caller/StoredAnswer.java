package org.banyanstile.server.caller;

import org.jspecify.annotations.Nullable;

/**
 * A complete answer of an endpoint, small enough to be stored.
 *
 * @param status status code
 * @param contentType media type, or {@code null} if the endpoint gave none
 * @param body the body as text
 * @author banyanstile contributors
 */
public record StoredAnswer(int status, @Nullable String contentType, String body) {

}
