package org.banyanstile.server.gossip;

import java.util.List;

/**
 * Report of a VM on the rollout of a service.
 *
 * @param service name of the service
 * @param order id of the request of the operator
 * @param oldRunning running requests of the old version
 * @param stage text of the stage that the VM follows, empty if it knows none
 * @param requests all requests of the service since the order
 * @param sentNew requests that were sent to the new version
 * @param routes outcomes by route and version
 * @author banyanstile contributors
 */
public record GossipRollout(String service, long order, int oldRunning, String stage, long requests, long sentNew,
		List<GossipRouteOutcomes> routes) {

}
