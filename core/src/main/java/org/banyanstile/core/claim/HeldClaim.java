package org.banyanstile.core.claim;

/**
 * A claim that this VM holds.
 *
 * @param identity identity of the call
 * @param record content of its row
 * @param version version of its row
 * @author banyanstile contributors
 */
public record HeldClaim(ClaimIdentity identity, ClaimRecord record, long version) {

}
