package org.banyanstile.server.operator;

import java.util.Collection;
import java.util.Map;

import org.banyanstile.core.common.VmId;

/**
 * The other VMs, as far as the distribution of the configuration needs them. Safe for use
 * by several threads; no call blocks.
 *
 * @author banyanstile contributors
 */
public interface FleetView {

	/**
	 * Returns the registered VMs with the time of that knowledge.
	 * @return the VMs
	 */
	Registered registered();

	/**
	 * Returns the versions in recent heartbeats of other VMs.
	 * @return version by VM
	 */
	Map<VmId, Long> reported();

	/**
	 * Asks for a scan of the slot rows now, because an acceptance waits for one.
	 */
	void requestScan();

	/**
	 * Sends a new version to the other VMs, without waiting.
	 * @param version the version
	 * @param body its content as JSON
	 */
	void push(long version, String body);

	/**
	 * Registered VMs.
	 *
	 * @param vms the VMs
	 * @param readAt time before the slot rows were read
	 * @author banyanstile contributors
	 */
	record Registered(Collection<VmId> vms, long readAt) {

	}

}
