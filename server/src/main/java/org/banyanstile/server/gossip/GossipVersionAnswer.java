package org.banyanstile.server.gossip;

/**
 * Answer to a {@link GossipVersionQuery}.
 *
 * @param number number of the question
 * @param vm name of the VM that answers
 * @param version version up to which it knows all changes of the table
 * @author banyanstile contributors
 */
public record GossipVersionAnswer(long number, String vm, long version) {

}
