package org.banyanstile.server.router;

import org.jspecify.annotations.Nullable;

/**
 * Header fields of an endpoint's response that the router uses.
 *
 * @param attemptId id of the request that it responds to, {@code null} if absent
 * @param sealed whether it has the endpoint's seal
 * @param notRun whether the endpoint says that it did not run the request
 * @author banyanstile contributors
 */
public record ResponseFields(@Nullable String attemptId, boolean sealed, boolean notRun) {

}
