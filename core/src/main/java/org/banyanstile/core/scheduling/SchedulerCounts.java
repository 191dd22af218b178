package org.banyanstile.core.scheduling;

/**
 * What a scheduler has done since its start.
 *
 * @param placed requests that were placed
 * @param waited requests among them that had to wait
 * @param backfilled requests among them that used an engine earmarked for another request
 * @param earmarks engines that are earmarked now
 * @param refusedTooLarge requests refused since no engine could hold them
 * @param refusedLate requests refused since they would have been late beyond use
 * @param refusedDeadline requests refused since their deadline would have passed
 * @param engineRefusals reservations that engines refused
 * @author banyanstile contributors
 */
public record SchedulerCounts(long placed, long waited, long backfilled, int earmarks, long refusedTooLarge,
		long refusedLate, long refusedDeadline, long engineRefusals) {

}
