package org.banyanstile.server.vm;

/**
 * Verdict that a request crashes endpoints, sent to all VMs.
 *
 * @param fingerprint team and body hash
 * @param expiresMillis time from receipt for which the verdict applies
 * @author banyanstile contributors
 */
public record CrashVerdict(String fingerprint, long expiresMillis) {

}
