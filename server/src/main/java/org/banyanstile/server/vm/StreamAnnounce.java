package org.banyanstile.server.vm;

/**
 * Announcement of a running stream to the owner of its request partition.
 *
 * @param team name of the team
 * @param keyHash SHA-256 of the idempotency key, in hexadecimal
 * @param requestId identifier of the request
 * @param endpoint name of the endpoint
 * @author banyanstile contributors
 */
public record StreamAnnounce(String team, String keyHash, String requestId, String endpoint) {

}
