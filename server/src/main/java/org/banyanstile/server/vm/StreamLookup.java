package org.banyanstile.server.vm;

/**
 * Asks the owner of a request partition where a request runs, and registers the sender as
 * the VM that serves the request.
 *
 * @param team name of the team
 * @param keyHash SHA-256 of the idempotency key, in hexadecimal
 * @param bodyHash SHA-256 of the body, in hexadecimal
 * @author banyanstile contributors
 */
public record StreamLookup(String team, String keyHash, String bodyHash) {

}
