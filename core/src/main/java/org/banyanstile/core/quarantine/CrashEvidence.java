package org.banyanstile.core.quarantine;

import java.util.List;

/**
 * What is known about a trait that requests had when their endpoints crashed. A trait is
 * the hash of something that several requests can have in common, such as a part of their
 * prompts. VMs send this record to each other; its size is bounded.
 *
 * @param trait hash of the trait
 * @param clearances number of times that a request with the trait was answered after a
 * crash; evidence with fewer clearances is obsolete
 * @param crashes hashes of the crashed incarnations of endpoints since the last
 * clearance, at most {@link CrashQuarantine#MAX_CRASHES}
 * @param crashAgeMillis time since the last crash in milliseconds
 * @param activeAgeMillis time in milliseconds since the last change of this evidence or
 * the last request that was refused because of it
 * @author banyanstile contributors
 */
public record CrashEvidence(long trait, int clearances, List<Long> crashes, long crashAgeMillis, long activeAgeMillis) {

}
