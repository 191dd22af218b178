package org.banyanstile.server.scheduling;

import java.util.Set;

/**
 * What a request needs of an engine.
 *
 * @param service name of the service
 * @param priority rank, 0 for the most urgent
 * @param promptTokens tokens of the prompt
 * @param tokens tokens of the prompt and of the expected output
 * @param onTimeMillis time from now until the objective passes, negative if it has passed
 * @param deadlineMillis time from now until the caller stops waiting
 * @param maxPauseMillis longest pause between two events, 0 for any
 * @param excludedEngines engines that must not be chosen at first
 * @author banyanstile contributors
 */
public record PlacementDemand(String service, int priority, long promptTokens, long tokens, long onTimeMillis,
		long deadlineMillis, long maxPauseMillis, Set<String> excludedEngines) {

	public PlacementDemand {
		excludedEngines = Set.copyOf(excludedEngines);
	}

}
