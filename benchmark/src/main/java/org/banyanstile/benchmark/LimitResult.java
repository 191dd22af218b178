package org.banyanstile.benchmark;

/**
 * Results of one run of the limit comparison.
 *
 * @param oneVmRefused the refused fraction of the requests of a team that uses one VM
 * within its rate
 * @param evenRefused the refused fraction of the requests of teams within their rate
 * @param outageRefused the refused fraction of the requests of all teams within their
 * rate, from the failure of the owner until ten seconds after its replacement
 * @param floodTokensPerSecond the tokens per second of the team at five times its rate
 * @param overGrant the largest number of tokens above burst plus refill in any window
 * @param messages the messages between VMs per second
 * @param bytes the bytes between VMs per second
 * @author banyanstile contributors
 */
public record LimitResult(double oneVmRefused, double evenRefused, double outageRefused, double floodTokensPerSecond,
		double overGrant, double messages, double bytes) {
}
