package org.banyanstile.core.rollout;

import java.util.Set;

import org.banyanstile.core.common.VmId;

/**
 * Reply of a peer to a VM that starts while the store is down.
 *
 * @param vm the peer
 * @param version version in force at the peer, 0 if none
 * @param registered VMs that the peer knows as registered
 * @author banyanstile contributors
 */
public record PeerVersion(VmId vm, long version, Set<VmId> registered) {

	/**
	 * Copies the set.
	 * @param vm the peer
	 * @param version version in force at the peer
	 * @param registered VMs that the peer knows as registered
	 */
	public PeerVersion {
		registered = Set.copyOf(registered);
	}

}
