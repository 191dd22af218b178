package org.banyanstile.server.vm;

/**
 * Promise not to use the floors of some partitions.
 *
 * @param slot slot of the sender
 * @param partitions numbers of the partitions, as a bit mask
 * @param sentAt time that the query carried
 * @author banyanstile contributors
 */
public record FloorPromise(int slot, long partitions, long sentAt) {

}
