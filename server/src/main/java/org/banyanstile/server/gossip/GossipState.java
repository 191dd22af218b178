package org.banyanstile.server.gossip;

import java.util.List;

import org.jspecify.annotations.Nullable;

/**
 * State that a VM sends to other VMs in each gossip round.
 *
 * @param self the sender
 * @param members the other VMs that it knows to be alive, empty if it sends no member
 * list
 * @param loads its running requests by endpoint
 * @param uses tokens that it has used, by team
 * @param roleChanges engines that are changing their role
 * @param crashes evidence against requests that crash endpoints
 * @param limits request limits that endpoints named
 * @param versions for each table the version up to which it knows all changes
 * @param millis the store's time of each of these versions
 * @param reply whether this replies to another state, and needs no reply itself
 * @param engines what it has observed of engines, {@code null} from a VM that does not
 * send it
 * @param configuration the operator's version of the configuration in force, -1 for none,
 * {@code null} from a VM that does not send it
 * @param versionHistory software versions that have served, {@code null} from a VM that
 * does not send them
 * @param leaving endpoints that said that they leave, {@code null} from a VM that does
 * not send them
 * @author banyanstile contributors
 */
public record GossipState(GossipMember self, List<GossipMember> members, List<GossipLoad> loads, List<GossipUse> uses,
		List<GossipRoleChange> roleChanges, List<GossipCrashes> crashes, List<GossipLimit> limits, List<Long> versions,
		List<Long> millis, boolean reply, @Nullable GossipEngines engines, @Nullable Long configuration,
		@Nullable GossipVersions versionHistory, @Nullable List<GossipLeaving> leaving) {

}
