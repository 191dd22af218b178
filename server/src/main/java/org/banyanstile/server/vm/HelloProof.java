package org.banyanstile.server.vm;

/**
 * Proof that the sender possesses the fleet key.
 *
 * @param hmac HMAC-SHA256 over role, names, addresses and nonces, in hexadecimal
 * @author banyanstile contributors
 */
public record HelloProof(String hmac) {

}
