package org.banyanstile.server.vm;

/**
 * Asks for the rows of VM slots that the receiver knows. Sent by a VM that starts while
 * the store is unavailable.
 *
 * @author banyanstile contributors
 */
public record SlotRowsFetch() {

}
