package org.banyanstile.server.router;

import org.banyanstile.core.limit.EndpointLimits;
import org.jspecify.annotations.Nullable;

/**
 * Header fields of an endpoint's response that the router uses.
 *
 * @param attemptId id of the request that it responds to, {@code null} if absent
 * @param sealed whether it has the endpoint's seal
 * @param notRun whether the endpoint says that it did not run the request
 * @param requestsPerSecond requests a second that the endpoint takes from all VMs
 * together, {@link EndpointLimits#UNLIMITED} if it names no limit
 * @param leaving whether the endpoint says that it leaves
 * @param waitMillis time in milliseconds for which the endpoint wants no requests of this
 * VM, 0 if it names none
 * @author banyanstile contributors
 */
public record ResponseFields(@Nullable String attemptId, boolean sealed, boolean notRun, double requestsPerSecond,
		boolean leaving, long waitMillis) {

}
