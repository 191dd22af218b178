package org.banyanstile.core.limit;

/**
 * Reply of the owner of a team bucket.
 *
 * @param tokens the granted tokens, 0 if the needed ones are not available
 * @param validNanos the validity, measured from before the request was sent
 * @param retryAfterNanos the time after which the needed tokens are available, 0 if
 * granted
 * @param issuedNanos the time of issue on the owner's clock, sent back with returned
 * tokens
 * @param ownerToken the fencing token of the owner
 * @author banyanstile contributors
 */
public record GrantReply(long tokens, long validNanos, long retryAfterNanos, long issuedNanos, long ownerToken) {
}
