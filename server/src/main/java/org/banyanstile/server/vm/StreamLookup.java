package org.banyanstile.server.vm;

/**
 * Request to the owner of a request partition. It makes the sender the VM that serves the
 * request.
 *
 * @param team name of the team
 * @param keyHash SHA-256 of the idempotency key, in hexadecimal
 * @param bodyHash SHA-256 of the body, in hexadecimal
 * @author banyanstile contributors
 */
public record StreamLookup(String team, String keyHash, String bodyHash) {

}
