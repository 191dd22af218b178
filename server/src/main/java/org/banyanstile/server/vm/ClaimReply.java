package org.banyanstile.server.vm;

import org.jspecify.annotations.Nullable;

/**
 * Reply to {@link ClaimQuery}.
 *
 * @param state {@code running}, {@code answered}, {@code refused}, {@code not_run} or
 * {@code unknown}
 * @param status status code of the response, 0 if there is none
 * @param contentType media type of the response, or {@code null}
 * @param body body of the response, or {@code null}
 * @author banyanstile contributors
 */
public record ClaimReply(String state, int status, @Nullable String contentType, @Nullable String body) {

}
