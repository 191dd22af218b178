package org.banyanstile.server.vm;

/**
 * First message of each side of a connection.
 *
 * @param vm name of the sender
 * @param address address at which the sender accepts connections, {@code ip:port}
 * @param nonce random value in hexadecimal
 * @author banyanstile contributors
 */
public record Hello(String vm, String address, String nonce) {

}
