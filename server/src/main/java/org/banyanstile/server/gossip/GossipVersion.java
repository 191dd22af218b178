package org.banyanstile.server.gossip;

/**
 * Software version that has served in a service with several versions.
 *
 * @param service name of the service
 * @param version the version
 * @param ageMillis time since it last served, 0 if it does now
 * @author banyanstile contributors
 */
public record GossipVersion(String service, String version, long ageMillis) {

}
