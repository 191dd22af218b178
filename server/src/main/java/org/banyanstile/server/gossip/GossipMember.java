package org.banyanstile.server.gossip;

/**
 * What is known of a VM.
 *
 * @param vm name of the VM
 * @param incarnation number of its start, higher after each restart
 * @param beat counter that it raises in each round
 * @param dataCentre its data centre
 * @param callerAddress address for callers as {@code ip:port}
 * @param peerAddress address for other VMs as {@code ip:port}
 * @param state ordinal of {@link MemberState}
 * @author banyanstile contributors
 */
public record GossipMember(String vm, long incarnation, long beat, String dataCentre, String callerAddress,
		String peerAddress, int state) {

}
