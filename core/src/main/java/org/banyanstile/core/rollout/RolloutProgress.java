package org.banyanstile.core.rollout;

import java.util.List;

import org.banyanstile.core.common.VmId;

/**
 * Progress of the rollout of a version.
 *
 * @param version the version
 * @param accepted whether it is in force on each VM that serves
 * @param registered number of registered VMs
 * @param missing registered VMs that have not acknowledged it
 * @author banyanstile contributors
 */
public record RolloutProgress(long version, boolean accepted, int registered, List<VmId> missing) {

	/**
	 * Copies the list.
	 * @param version the version
	 * @param accepted whether it is in force on each VM that serves
	 * @param registered number of registered VMs
	 * @param missing registered VMs that have not acknowledged it
	 */
	public RolloutProgress {
		missing = List.copyOf(missing);
	}

	/**
	 * Returns the number of VMs that acknowledged the version.
	 * @return the number
	 */
	public int acknowledged() {
		return this.registered - this.missing.size();
	}

}
