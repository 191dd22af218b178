package org.banyanstile.server.gossip;

import java.util.List;

/**
 * Software versions that have served, as a VM knows them.
 *
 * @param knownMillis for how long it knows of all versions
 * @param versions versions of the services that have had several
 * @author banyanstile contributors
 */
public record GossipVersions(long knownMillis, List<GossipVersion> versions) {

}
