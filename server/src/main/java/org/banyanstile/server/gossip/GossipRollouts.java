package org.banyanstile.server.gossip;

import java.util.List;

/**
 * Reports of a VM on rollouts, sent while there is one. A message of its own, since the
 * VMs that decide need it in each round, and the rest of the state is larger.
 *
 * @param vm name of the VM
 * @param incarnation its start
 * @param rollouts the reports
 * @author banyanstile contributors
 */
public record GossipRollouts(String vm, long incarnation, List<GossipRollout> rollouts) {

}
