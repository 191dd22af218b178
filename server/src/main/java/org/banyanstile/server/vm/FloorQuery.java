package org.banyanstile.server.vm;

/**
 * Request of an owner of team buckets that the receiver leaves its floors unused. The
 * page's promise in each heartbeat does not name the partitions, and sender and receiver
 * can disagree about who owns a partition, so the owner asks for its own ones.
 *
 * @param partitions numbers of the sender's partitions, as a bit mask
 * @param sentAt time on the sender's clock, returned by the reply
 * @author banyanstile contributors
 */
public record FloorQuery(long partitions, long sentAt) {

}
