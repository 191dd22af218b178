package org.banyanstile.core.rollout;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

import org.banyanstile.core.common.VmId;

/**
 * Chooses the version with which a VM starts while the store is down: the highest among
 * the replies of more than half of the registered VMs. An accepted version was
 * acknowledged by more than half of them, so at least one of the replies names it or a
 * later one.
 *
 * @author banyanstile contributors
 */
public final class PeerBootstrap {

	private PeerBootstrap() {
	}

	/**
	 * Chooses the peer from which to fetch the configuration.
	 * @param replies the replies received so far, one per peer
	 * @return the reply with the highest version, or empty if too few VMs replied or none
	 * has a version
	 */
	public static Optional<PeerVersion> choose(Collection<PeerVersion> replies) {
		Set<VmId> known = new HashSet<>();
		replies.forEach((reply) -> known.addAll(reply.registered()));
		long replied = replies.stream()
			.filter((reply) -> reply.version() > 0 && known.contains(reply.vm()))
			.map(PeerVersion::vm)
			.distinct()
			.count();
		if (2 * replied <= known.size()) {
			return Optional.empty();
		}
		return replies.stream()
			.filter((reply) -> reply.version() > 0)
			.max(Comparator.comparingLong(PeerVersion::version).thenComparing(PeerVersion::vm));
	}

}
