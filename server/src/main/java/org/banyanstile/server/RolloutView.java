package org.banyanstile.server;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;

import org.banyanstile.core.common.VmId;
import org.banyanstile.core.membership.PeerReport;
import org.banyanstile.server.operator.FleetView;
import org.banyanstile.server.platform.Coordination;
import org.banyanstile.server.vm.ConfigPush;
import org.banyanstile.server.vm.VmPeers;

/**
 * View of the fleet for the rollout of configurations.
 *
 * @author banyanstile contributors
 */
final class RolloutView implements FleetView {

	private final Coordination coordination;

	private final VmPeers peers;

	RolloutView(Coordination coordination, VmPeers peers) {
		this.coordination = coordination;
		this.peers = peers;
	}

	@Override
	public Registered registered() {
		OptionalLong readAt = this.coordination.slotsReadAt();
		return new Registered(this.coordination.registered(), readAt.orElse(Long.MIN_VALUE / 2));
	}

	@Override
	public Map<VmId, Long> reported() {
		Map<VmId, Long> versions = new HashMap<>();
		for (PeerReport report : this.coordination.reports()) {
			versions.put(report.heartbeat().vm(), report.heartbeat().configVersion());
		}
		return versions;
	}

	@Override
	public void requestScan() {
		this.coordination.requestScan();
	}

	@Override
	public void push(long version, String body) {
		this.peers.sendToAll(new ConfigPush(version, body));
	}

}
