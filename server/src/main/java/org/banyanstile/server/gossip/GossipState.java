package org.banyanstile.server.gossip;

import java.util.List;

/**
 * State that a VM sends to others in each round.
 *
 * @param self the sender
 * @param members all VMs that it knows
 * @param loads its work at endpoints
 * @param uses its use of token limits
 * @param changes engines that change their part
 * @param versions version of each table that it knows completely
 * @param millis the store's time of each of these versions
 * @param answered whether this replies to another state, and needs no reply
 * @author banyanstile contributors
 */
public record GossipState(GossipMember self, List<GossipMember> members, List<GossipLoad> loads, List<GossipUse> uses,
		List<GossipChange> changes, List<Long> versions, List<Long> millis, boolean answered) {

}
