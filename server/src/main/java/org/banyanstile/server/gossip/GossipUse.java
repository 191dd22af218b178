package org.banyanstile.server.gossip;

/**
 * Tokens that the sender has used since its start.
 *
 * @param team name of the team
 * @param tokens the tokens
 * @author banyanstile contributors
 */
public record GossipUse(String team, long tokens) {

}
