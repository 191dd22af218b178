package org.banyanstile.server.gossip;

/**
 * An engine that changes its part.
 *
 * @param endpoint id of the engine
 * @param phase ordinal of its new part
 * @param leftMillis time in milliseconds after which the order counts as lost
 * @author banyanstile contributors
 */
public record GossipChange(String endpoint, int phase, long leftMillis) {

}
