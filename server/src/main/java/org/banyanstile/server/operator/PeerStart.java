package org.banyanstile.server.operator;

import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.banyanstile.core.rollout.PeerBootstrap;
import org.banyanstile.core.rollout.PeerVersion;

/**
 * Fetches the first configuration of a VM from other VMs, so that it can start while the
 * table service is down. Call {@link #run()} repeatedly until a version is in force.
 *
 * @author banyanstile contributors
 */
public final class PeerStart {

	private static final Logger logger = LogManager.getLogger(PeerStart.class);

	private final RolloutService rollout;

	private final FleetView fleet;

	private final PeerFetch fetch;

	private PeerStart(RolloutService rollout, FleetView fleet, PeerFetch fetch) {
		this.rollout = rollout;
		this.fleet = fleet;
		this.fetch = fetch;
	}

	/**
	 * Creates an instance.
	 * @param rollout applies the version
	 * @param fleet the other VMs; its registered VMs include every VM that a peer lists
	 * @param fetch fetches a version
	 * @return the instance
	 */
	public static PeerStart create(RolloutService rollout, FleetView fleet, PeerFetch fetch) {
		return new PeerStart(rollout, fleet, fetch);
	}

	/**
	 * If no version is in force here, applies the highest one in the reports of more than
	 * half of the registered VMs. Blocks.
	 * @return whether a version is in force
	 */
	public boolean run() {
		if (this.rollout.current().version() > 0) {
			return true;
		}
		Optional<PeerVersion> chosen = PeerBootstrap.choose(replies());
		if (chosen.isEmpty()) {
			return false;
		}
		PeerFetch.Fetched fetched = this.fetch.fetch(chosen.get().vm());
		if (fetched == null || fetched.version() < chosen.get().version()) {
			return false;
		}
		if (this.rollout.received(fetched.version(), fetched.body())) {
			logger.info("configuration version {} fetched from VM {}", fetched.version(), chosen.get().vm());
		}
		return this.rollout.current().version() > 0;
	}

	private List<PeerVersion> replies() {
		FleetView.Registered registered = this.fleet.registered();
		return this.fleet.reported()
			.entrySet()
			.stream()
			.map((entry) -> new PeerVersion(entry.getKey(), entry.getValue(), Set.copyOf(registered.vms())))
			.toList();
	}

}
