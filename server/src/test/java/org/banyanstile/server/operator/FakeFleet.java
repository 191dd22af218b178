package org.banyanstile.server.operator;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.banyanstile.core.common.Ticker;
import org.banyanstile.core.common.VmId;

/**
 * Two other VMs that acknowledge each version at once, except those that were told to
 * stop.
 *
 * @author banyanstile contributors
 */
final class FakeFleet implements FleetView {

	private final Map<VmId, Long> versions = new HashMap<>(Map.of(VmId.of("b"), 0L, VmId.of("c"), 0L));

	private final List<Long> pushes = new ArrayList<>();

	private final List<VmId> notAcknowledging = new ArrayList<>();

	void stopAcknowledging(VmId vm) {
		this.notAcknowledging.add(vm);
	}

	void setVersions(long b, long c) {
		this.versions.put(VmId.of("b"), b);
		this.versions.put(VmId.of("c"), c);
	}

	List<Long> pushed() {
		return this.pushes;
	}

	@Override
	public Registered registered() {
		return new Registered(List.of(VmId.of("a"), VmId.of("b"), VmId.of("c")), Ticker.system().nanos());
	}

	@Override
	public Map<VmId, Long> reported() {
		return this.versions;
	}

	@Override
	public void requestScan() {
	}

	@Override
	public void push(long version, String body) {
		this.pushes.add(version);
		this.versions.replaceAll((vm, old) -> this.notAcknowledging.contains(vm) ? old : Long.valueOf(version));
	}

}
