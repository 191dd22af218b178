package org.banyanstile.config.api;

import java.util.List;

import org.jspecify.annotations.Nullable;

/**
 * What a VM would do now with a request that it does not get.
 *
 * @param vm name of the VM
 * @param configuration version of its configuration, -1 if it has none
 * @param route name of the route, {@code null} if none matches
 * @param service name of the service, {@code null} if there is no route
 * @param priority rank of the request, 0 for the most urgent
 * @param objectiveMillis latency objective of the route
 * @param outcome {@code send}, {@code wait} or {@code refuse}
 * @param status status of the response if it is refused, 0 otherwise
 * @param endpoint id of the endpoint that would get it, {@code null} if none
 * @param prefillEndpoint id of the endpoint that would prefill the prompt, {@code null}
 * if none
 * @param reasons why, in the order in which the VM decides
 * @param candidates endpoints of the service, the first choice first
 * @author banyanstile contributors
 */
public record Explanation(String vm, long configuration, @Nullable String route, @Nullable String service, int priority,
		long objectiveMillis, String outcome, int status, @Nullable String endpoint, @Nullable String prefillEndpoint,
		List<String> reasons, List<Candidate> candidates) {

	/**
	 * Copies the lists.
	 * @param vm name of the VM
	 * @param configuration version of its configuration
	 * @param route name of the route
	 * @param service name of the service
	 * @param priority rank of the request
	 * @param objectiveMillis latency objective of the route
	 * @param outcome what would happen
	 * @param status status of a refusal
	 * @param endpoint the endpoint
	 * @param prefillEndpoint the endpoint that would prefill the prompt
	 * @param reasons why
	 * @param candidates endpoints of the service
	 */
	public Explanation {
		reasons = List.copyOf(reasons);
		candidates = List.copyOf(candidates);
	}

	/**
	 * An endpoint of the service.
	 *
	 * @param id its id
	 * @param role {@code plain}, {@code prefill} or {@code decode}
	 * @param dataCentre its data centre
	 * @param requests running requests of all VMs, as reported
	 * @param tokens tokens of these requests, as reported
	 * @param usable whether it could get the request now
	 * @param reason why it comes at this position, or why it is not usable
	 * @author banyanstile contributors
	 */
	public record Candidate(String id, String role, String dataCentre, int requests, long tokens, boolean usable,
			String reason) {

	}

}
