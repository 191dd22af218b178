package org.banyanstile.server.gossip;

/**
 * An engine that is changing its role.
 *
 * @param endpoint id of the engine
 * @param role ordinal of its new role
 * @param remainingMillis remaining time in milliseconds until the role-change order
 * counts as lost
 * @author banyanstile contributors
 */
public record GossipRoleChange(String endpoint, int role, long remainingMillis) {

}
