package org.banyanstile.server.vm;

/**
 * Request for the running stream of an idempotency key.
 *
 * @param team name of the team
 * @param keyHash SHA-256 of the idempotency key, in hexadecimal
 * @author banyanstile contributors
 */
public record StreamLookup(String team, String keyHash) {

}
