package org.banyanstile.server.vm;

/**
 * Promise of the sender not to use its floors of some partitions.
 *
 * @param slot VM slot of the sender
 * @param partitions numbers of the partitions, as a bit mask
 * @param sentAt the {@link FloorQuery#sentAt()} of the query, unchanged
 * @author banyanstile contributors
 */
public record FloorPromise(int slot, long partitions, long sentAt) {

}
