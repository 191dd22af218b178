package org.banyanstile.server.vm;

/**
 * Request for the slot rows known to the receiver, by a VM that starts while the store is
 * down.
 *
 * @author banyanstile contributors
 */
public record SlotRowsFetch() {

}
