package org.banyanstile.core.scheduling;

import java.util.Collection;
import java.util.List;

import org.banyanstile.core.catalog.RegisteredEndpoint;

/**
 * Places the generations of the whole fleet on the engines of a service. Used by one
 * thread at a time. All methods accept repeated and late messages.
 *
 * @author banyanstile contributors
 */
public interface GenerationScheduler {

	/**
	 * Sets the engines that may get work.
	 * @param engines the engines with their roles, without those that are changing it
	 * @param memoryTokens tokens that fit into the memory of one engine
	 * @param now the current time in nanoseconds
	 */
	void setEngines(Collection<RegisteredEndpoint> engines, long memoryTokens, long now);

	/**
	 * Adds a request, or renews it if it is known. A request that was placed before is
	 * placed again, with the same engines unless these are excluded now.
	 * @param request the request
	 * @param now the current time in nanoseconds
	 */
	void add(GenerationRequest request, long now);

	/**
	 * Records that the prompt of a request was prefilled.
	 * @param requestId id of the request
	 * @param engine engine that prefilled it
	 * @param promptTokens its tokens
	 * @param millis time from the request to the response of the engine
	 * @param now the current time in nanoseconds
	 */
	void prefilled(String requestId, String engine, long promptTokens, long millis, long now);

	/**
	 * Records that a request has ended or was given up, so that its memory is free.
	 * @param requestId id of the request
	 * @param streamMillis time from its first event to its end, 0 if it had no event
	 * @param now the current time in nanoseconds
	 */
	void ended(String requestId, long streamMillis, long now);

	/**
	 * Records that an engine refused the reservation of a request, which is no longer
	 * placed.
	 * @param requestId id of the request
	 * @param engine the engine
	 * @param now the current time in nanoseconds
	 */
	void refusedByEngine(String requestId, String engine, long now);

	/**
	 * Replaces what is known of the placements of a VM.
	 * @param vm the VM
	 * @param holdings all its placements
	 * @param now the current time in nanoseconds
	 */
	void setHoldings(String vm, Collection<Holding> holdings, long now);

	/**
	 * Decides on waiting requests. Called after changes and at least each 20 ms while
	 * requests wait.
	 * @param now the current time in nanoseconds
	 * @return new decisions, in the order in which they should be sent
	 */
	List<SchedulingDecision> decide(long now);

	/**
	 * Returns the expected time until a waiting request is placed.
	 * @param requestId id of the request
	 * @param now the current time in nanoseconds
	 * @return the time in milliseconds, 0 if the request does not wait
	 */
	long expectedWaitMillis(String requestId, long now);

	/**
	 * Returns the number of requests that wait.
	 * @return the number
	 */
	int waiting();

	/**
	 * Returns the engines ordered by the speed at which they prefill, fastest first.
	 * @return their ids
	 */
	List<String> enginesBySpeed();

}
