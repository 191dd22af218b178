package org.banyanstile.server.gossip;

/**
 * Question for the version of a table that a VM knows. It is answered at once, so the
 * answer is newer than the question.
 *
 * @param number number of the question, which the answer repeats
 * @param table ordinal of the table
 * @author banyanstile contributors
 */
public record GossipVersionQuery(long number, int table) {

}
