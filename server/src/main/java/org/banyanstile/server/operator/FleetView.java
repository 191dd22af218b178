package org.banyanstile.server.operator;

import java.util.Collection;
import java.util.Map;

import org.banyanstile.core.common.VmId;

/**
 * View of the other VMs for the distribution of the configuration. Safe for use by
 * several threads; no call blocks.
 *
 * @author banyanstile contributors
 */
public interface FleetView {

	/**
	 * Returns the registered VMs with the time of the scan that showed them.
	 * @return the VMs
	 */
	Registered registered();

	/**
	 * Returns the versions that other VMs reported in recent heartbeats.
	 * @return version by VM
	 */
	Map<VmId, Long> reported();

	/**
	 * Requests an immediate scan of the slot rows, because the acceptance of a version
	 * can depend on one.
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
