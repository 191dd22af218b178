package org.banyanstile.server.gossip;

/**
 * Requests of the sender that run at an endpoint.
 *
 * @param endpoint id of the endpoint
 * @param requests number of requests
 * @param tokens their tokens
 * @author banyanstile contributors
 */
public record GossipLoad(String endpoint, int requests, long tokens) {

}
