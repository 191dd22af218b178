package org.banyanstile.server.vm;

/**
 * Asks the receiver, on behalf of an owner of team buckets, not to use its floors. The
 * promise in each heartbeat does not name the partitions, and sender and receiver can
 * disagree about who owns a partition, so the owner asks for its own ones.
 *
 * @param partitions numbers of the sender's partitions, as a bit mask
 * @param sentAt time on the sender's clock, returned by the reply
 * @author banyanstile contributors
 */
public record FloorQuery(long partitions, long sentAt) {

}
