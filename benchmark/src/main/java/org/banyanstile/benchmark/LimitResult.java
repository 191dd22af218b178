package org.banyanstile.benchmark;

/**
 * Figures of one run of the limits.
 *
 * @param oneVmRefused the refused part of the requests of a team that uses one VM within
 * its rate
 * @param evenRefused the refused part of the requests of teams within their rate
 * @param outageRefused the same while the owner is gone
 * @param floodTokensPerSecond the tokens per second of the team at five times its rate
 * @param overGrant the most tokens above burst plus refill in any window
 * @param messages the messages between VMs per second
 * @param bytes the bytes between VMs per second
 * @author banyanstile contributors
 */
public record LimitResult(double oneVmRefused, double evenRefused, double outageRefused, double floodTokensPerSecond,
		double overGrant, double messages, double bytes) {
}
