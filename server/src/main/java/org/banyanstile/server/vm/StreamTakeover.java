package org.banyanstile.server.vm;

/**
 * Asks the VM that serves a request to close its connection to the caller, because
 * another VM continues the stream.
 *
 * @param team name of the team
 * @param keyHash SHA-256 of the idempotency key, in hexadecimal
 * @author banyanstile contributors
 */
public record StreamTakeover(String team, String keyHash) {

}
