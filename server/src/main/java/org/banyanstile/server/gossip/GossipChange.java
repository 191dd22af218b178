package org.banyanstile.server.gossip;

/**
 * An engine that is changing its role.
 *
 * @param endpoint id of the engine
 * @param phase ordinal of its new role
 * @param leftMillis remaining time in milliseconds until the role-change order counts as
 * lost
 * @author banyanstile contributors
 */
public record GossipChange(String endpoint, int phase, long leftMillis) {

}
