package org.banyanstile.server.caller;

import java.util.Set;

import org.banyanstile.core.common.EndpointId;
import org.banyanstile.core.common.TeamId;

/**
 * Request for one endpoint slot of a pool.
 *
 * @param pool the pool
 * @param team the team that the slot is charged to
 * @param cost cost in tokens
 * @param requestId identifier of the request
 * @param fingerprint hash of team and body, the same for every repeated request
 * @param deadlineMillis maximum time to wait
 * @param excluded endpoints that must not be chosen
 * @author banyanstile contributors
 */
public record SlotDemand(Pool pool, TeamId team, long cost, String requestId, String fingerprint, long deadlineMillis,
		Set<EndpointId> excluded) {

}
