package org.banyanstile.server;

import org.banyanstile.server.caller.ClaimService;
import org.banyanstile.server.caller.MemberDirectory;
import org.banyanstile.server.caller.ServingCheck;
import org.banyanstile.server.caller.SlotSource;
import org.banyanstile.server.caller.StreamDirectory;
import org.banyanstile.server.caller.TeamLimiter;

/**
 * Components that differ between a fleet and a single VM without coordination.
 *
 * @param serving the serving check
 * @param limiter rates and bursts
 * @param slots endpoint slots
 * @param claims claims of calls that must run at most once
 * @param directory running requests of the fleet
 * @param members the VMs that callers may use
 * @author banyanstile contributors
 */
record RequestParts(ServingCheck serving, TeamLimiter limiter, SlotSource slots, ClaimService claims,
		StreamDirectory directory, MemberDirectory members) {

}
