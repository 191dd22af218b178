package org.banyanstile.server.vm;

/**
 * Asks the VM that holds the claim of a call for the outcome of the call.
 *
 * @param team name of the team
 * @param keyHash SHA-256 of the idempotency key, in hexadecimal
 * @author banyanstile contributors
 */
public record ClaimQuery(String team, String keyHash) {

}
