package org.banyanstile.server.fleet;

import org.banyanstile.core.common.VmId;
import org.jspecify.annotations.Nullable;

/**
 * What this VM knows about the owners of partitions. Safe for use by several threads.
 *
 * @author banyanstile contributors
 */
public interface Ownership {

	/**
	 * Returns this VM.
	 * @return the name
	 */
	VmId self();

	/**
	 * Returns the owner of a partition as last observed.
	 * @param partition name of the partition
	 * @return the owner, or {@code null} if none is known
	 */
	@Nullable
	VmId ownerOf(String partition);

	/**
	 * Returns the fencing token of a partition of this VM.
	 * @param partition name of the partition
	 * @return the token, 0 if this VM does not own the partition or may not serve
	 */
	long tokenOf(String partition);

	/**
	 * Returns the number of VMs that are registered, at least 1.
	 * @return the number
	 */
	int registeredVms();

}
