package org.banyanstile.server.vm;

/**
 * Tells the owner of a request partition where a request runs.
 *
 * @param team name of the team
 * @param keyHash SHA-256 of the idempotency key, in hexadecimal
 * @param requestId identifier at the engine
 * @param endpoint name of the endpoint
 * @param bodyHash SHA-256 of the body, in hexadecimal
 * @author banyanstile contributors
 */
public record StreamAnnounce(String team, String keyHash, String requestId, String endpoint, String bodyHash) {

}
