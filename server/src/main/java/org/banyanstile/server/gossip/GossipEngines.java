package org.banyanstile.server.gossip;

import java.util.List;

/**
 * What a VM has observed of engines.
 *
 * @param work its work by service, empty if roles do not follow the demand
 * @param speeds speeds of some engines, others in the next rounds
 * @author banyanstile contributors
 */
public record GossipEngines(List<GossipWork> work, List<GossipSpeed> speeds) {

	/**
	 * Returns no observations.
	 * @return no observations
	 */
	public static GossipEngines none() {
		return new GossipEngines(List.of(), List.of());
	}

}
