package org.banyanstile.server.canary;

import org.banyanstile.core.canary.FleetEvidence;
import org.banyanstile.core.canary.RolloutStage;
import org.jspecify.annotations.Nullable;

/**
 * What a VM reports to others about a rollout.
 *
 * @param service name of the service
 * @param order id of the request of the operator
 * @param oldRunning running requests of the old version on the VM
 * @param stage the stage that the VM follows, {@code null} if it knows none
 * @param evidence evidence of the VM
 * @author banyanstile contributors
 */
public record VmEvidence(String service, long order, int oldRunning, @Nullable RolloutStage stage,
		FleetEvidence evidence) {

}
