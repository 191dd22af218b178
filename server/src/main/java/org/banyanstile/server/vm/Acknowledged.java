package org.banyanstile.server.vm;

/**
 * Reply without content to a request that was handled.
 *
 * @author banyanstile contributors
 */
public record Acknowledged() {

}
