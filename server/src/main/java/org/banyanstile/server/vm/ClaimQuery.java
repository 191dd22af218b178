package org.banyanstile.server.vm;

/**
 * Request to the VM that holds a once-only claim for its outcome.
 *
 * @param team name of the team
 * @param keyHash SHA-256 of the idempotency key, in hexadecimal
 * @author banyanstile contributors
 */
public record ClaimQuery(String team, String keyHash) {

}
