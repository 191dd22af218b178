package org.banyanstile.core.admission;

import java.util.Set;

import org.banyanstile.core.common.EndpointId;
import org.banyanstile.core.common.TeamId;
import org.banyanstile.core.common.VmId;
import org.jspecify.annotations.Nullable;

/**
 * Request for a decode slot, made before the prefill starts.
 *
 * @param requestId the request
 * @param holder the serving VM
 * @param team the team
 * @param weight the weight of the team in fair queueing, above 0
 * @param cost prompt tokens and expected output tokens
 * @param maxWaitNanos the longest wait with which the first-token target can be met
 * @param isolated whether the request is a suspect and must run alone on its endpoint
 * @param preferred the endpoint with the longest cached prefix, used as a hint
 * @param excluded the endpoints at which this request failed
 * @author banyanstile contributors
 */
public record SlotRequest(String requestId, VmId holder, TeamId team, double weight, long cost, long maxWaitNanos,
		boolean isolated, @Nullable EndpointId preferred, Set<EndpointId> excluded) {
}
