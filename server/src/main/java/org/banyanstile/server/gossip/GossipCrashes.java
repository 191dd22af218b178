package org.banyanstile.server.gossip;

import java.util.List;

/**
 * Crashes of endpoints while requests with a trait ran there.
 *
 * @param trait hash of the trait
 * @param clearances number of times that a request with the trait was answered after a
 * crash
 * @param crashes hashes of the crashed incarnations of endpoints
 * @param crashAgeMillis time since the last crash in milliseconds
 * @param activeAgeMillis time in milliseconds since the last crash, clearance or refusal
 * @author banyanstile contributors
 */
public record GossipCrashes(long trait, int clearances, List<Long> crashes, long crashAgeMillis, long activeAgeMillis) {

}
