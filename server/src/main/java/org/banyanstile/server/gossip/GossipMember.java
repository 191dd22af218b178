package org.banyanstile.server.gossip;

/**
 * State of a VM as known to the sender.
 *
 * @param vm name of the VM
 * @param incarnation number that is higher after each restart of the VM
 * @param heartbeat counter that the VM increments in each gossip round
 * @param dataCentre its data centre
 * @param callerAddress address for callers as {@code ip:port}
 * @param peerAddress address for other VMs as {@code ip:port}
 * @param state ordinal of {@link MemberState}
 * @author banyanstile contributors
 */
public record GossipMember(String vm, long incarnation, long heartbeat, String dataCentre, String callerAddress,
		String peerAddress, int state) {

}
