package org.banyanstile.server.gossip;

/**
 * Request limit that an endpoint named in a response.
 *
 * @param endpoint id of the endpoint
 * @param perSecond requests a second that it takes from all VMs together, -1 if it named
 * no limit
 * @param ageMillis time since the response in milliseconds
 * @author banyanstile contributors
 */
public record GossipLimit(String endpoint, double perSecond, long ageMillis) {

}
