package org.banyanstile.server.vm;

/**
 * Notifies the owner of a request partition that the sender no longer serves a request.
 *
 * @param team name of the team
 * @param keyHash SHA-256 of the idempotency key, in hexadecimal
 * @author banyanstile contributors
 */
public record StreamWithdraw(String team, String keyHash) {

}
