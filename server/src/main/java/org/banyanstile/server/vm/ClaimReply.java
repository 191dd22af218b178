package org.banyanstile.server.vm;

import org.jspecify.annotations.Nullable;

/**
 * Reply to {@link ClaimQuery}.
 *
 * @param state state of the claim as in its row, or {@code running}, or {@code absent}
 * @param status status code of the answer, 0 if there is none
 * @param body body of the answer, or {@code null}
 * @author banyanstile contributors
 */
public record ClaimReply(String state, int status, @Nullable String body) {

}
