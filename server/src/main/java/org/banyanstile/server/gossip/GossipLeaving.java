package org.banyanstile.server.gossip;

/**
 * Notice of an endpoint that it leaves.
 *
 * @param endpoint id of the endpoint
 * @param startMillis time of its start in milliseconds since 1970, 0 if not known
 * @param ageMillis time since the notice in milliseconds
 * @author banyanstile contributors
 */
public record GossipLeaving(String endpoint, long startMillis, long ageMillis) {

}
