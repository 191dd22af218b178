package org.banyanstile.benchmark;

/**
 * Results of one run of the pool comparison.
 *
 * @param goodPerSecond the responses within both latency targets, per second
 * @param wastedPrefill the wasted fraction of the prefill tokens
 * @param wastedForLackOfSlot the prefills wasted because no decode slot was found
 * @param worstTeamShare the lowest ratio of tokens served to the fair share
 * @param refused the requests refused before any work
 * @param failed the requests that failed after work was done
 * @param coldOverloads the requests that an engine in cold start rejected
 * @param messages the messages between VMs and from engines
 * @author banyanstile contributors
 */
public record PoolResult(double goodPerSecond, double wastedPrefill, long wastedForLackOfSlot, double worstTeamShare,
		long refused, long failed, long coldOverloads, long messages) {
}
