package org.banyanstile.server.view;

import java.util.List;

import org.banyanstile.core.canary.RolloutOrder;
import org.banyanstile.core.canary.RolloutStage;
import org.banyanstile.core.quarantine.TrialRow;
import org.banyanstile.core.quarantine.TrialWrite;
import org.banyanstile.core.stream.ServedVersion;
import org.banyanstile.core.stream.StreamOrigin;

/**
 * Fake of the store without VMs, rollouts and streams, whose tables a test provides.
 *
 * @author banyanstile contributors
 */
abstract class EmptyTableSource implements TableSource {

	@Override
	public long era() {
		return 0;
	}

	@Override
	public void register(String vm, String peerAddress) {
		// Other VMs are not part of these tests.
	}

	@Override
	public List<VmRow> registered() {
		return List.of();
	}

	@Override
	public void unregister(VmRow row) {
		// Other VMs are not part of these tests.
	}

	@Override
	public RoleChangeOwnerRow roleChangeOwner() {
		return new RoleChangeOwnerRow(0, "");
	}

	@Override
	public long writeRoleChangeOwner(String vm, long expectedVersion) {
		return -1;
	}

	@Override
	public RolloutRow rollout(String service) {
		return new RolloutRow(0, null);
	}

	@Override
	public long writeRollout(RolloutOrder order, RolloutStage stage, long expectedVersion) {
		return -1;
	}

	@Override
	public TrialWrite writeTrials(List<TrialRow> rows) {
		return TrialWrite.ofRejected(rows);
	}

	@Override
	public void writeStreams(StreamWrite write) {
		// Streams are not part of these tests.
	}

	@Override
	public StreamOrigin streamOrigin(String attempt) {
		return null;
	}

	@Override
	public List<ServedVersion> servedVersions() {
		return List.of();
	}

	@Override
	public List<String> oldStreams(long minAgeMillis) {
		return List.of();
	}

}
