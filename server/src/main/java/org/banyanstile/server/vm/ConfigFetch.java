package org.banyanstile.server.vm;

/**
 * Request for the configuration in force at the receiver.
 *
 * @param above version that the sender already has
 * @author banyanstile contributors
 */
public record ConfigFetch(long above) {

}
