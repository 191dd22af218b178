package org.banyanstile.core.placement;

/**
 * An endpoint as it is seen when a request is placed.
 *
 * @param id id of the endpoint
 * @param dataCentre its data centre
 * @param requests running requests of all VMs, as reported
 * @param tokens tokens of these requests, as reported
 * @param usable whether it could get the request now
 * @param reason why it comes at this position, or why it is not usable
 * @author banyanstile contributors
 */
public record CandidateEndpoint(String id, String dataCentre, int requests, long tokens, boolean usable,
		String reason) {

}
