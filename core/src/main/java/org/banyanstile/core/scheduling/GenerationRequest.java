package org.banyanstile.core.scheduling;

import java.util.Set;

/**
 * Request of a generation for memory at an engine. Times are relative to its arrival at
 * the scheduler, since the clocks of VMs differ.
 *
 * @param id id of the request, unique in the fleet
 * @param vm VM that serves the request
 * @param dataCentre data centre of that VM
 * @param priority rank, 0 for the most urgent
 * @param promptTokens tokens of the prompt
 * @param tokens tokens of the prompt and of the expected output
 * @param onTimeMillis time until the objective passes, negative if it has passed
 * @param deadlineMillis time until the caller stops waiting
 * @param maxPauseMillis longest pause that the caller accepts between two events, 0 for
 * any
 * @param excludedEngines engines that must not be chosen
 * @author banyanstile contributors
 */
public record GenerationRequest(String id, String vm, String dataCentre, int priority, long promptTokens, long tokens,
		long onTimeMillis, long deadlineMillis, long maxPauseMillis, Set<String> excludedEngines) {

	public GenerationRequest {
		excludedEngines = Set.copyOf(excludedEngines);
	}

}
