package org.banyanstile.server.vm;

/**
 * Reply to a request that could not be handled.
 *
 * @param reason what failed
 * @author banyanstile contributors
 */
public record Failure(String reason) {

}
