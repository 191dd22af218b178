package org.banyanstile.config.api;

import java.util.List;

/**
 * State of one VM.
 *
 * @param vm its name
 * @param dataCentre its data centre
 * @param state {@code starting}, {@code live} or {@code leaving}
 * @param serving whether it accepts requests
 * @param reason why it does not accept requests, empty if it does
 * @param configVersion version of the configuration in use
 * @param storeAgeMillis time since its last contact with the table service
 * @param slot its VM slot, -1 if it holds none
 * @param epoch epoch of the slot
 * @param runningRequests requests in progress
 * @param registeredVms VMs that hold a slot
 * @param liveVms VMs whose heartbeat is recent, itself included
 * @param partitions partitions that it owns
 * @author banyanstile contributors
 */
public record VmStatus(String vm, String dataCentre, String state, boolean serving, String reason, long configVersion,
		long storeAgeMillis, int slot, long epoch, int runningRequests, int registeredVms, int liveVms,
		List<String> partitions) {

	/**
	 * Copies the list.
	 * @param vm its name
	 * @param dataCentre its data centre
	 * @param state its state
	 * @param serving whether it accepts requests
	 * @param reason why it does not
	 * @param configVersion version of the configuration in use
	 * @param storeAgeMillis time since its last contact with the table service
	 * @param slot its VM slot
	 * @param epoch epoch of the slot
	 * @param runningRequests requests in progress
	 * @param registeredVms VMs that hold a slot
	 * @param liveVms VMs whose heartbeat is recent
	 * @param partitions partitions that it owns
	 */
	public VmStatus {
		partitions = List.copyOf(partitions);
	}

}
