package org.banyanstile.server.operator;

import org.banyanstile.core.common.VmId;
import org.jspecify.annotations.Nullable;

/**
 * Fetches the configuration in force at another VM.
 *
 * @author banyanstile contributors
 */
@FunctionalInterface
public interface PeerFetch {

	/**
	 * Requests the version from another VM. Blocks.
	 * @param vm the VM
	 * @return its version, or {@code null} if it did not respond
	 */
	@Nullable
	Fetched fetch(VmId vm);

	/**
	 * Version in force at another VM.
	 *
	 * @param version the version
	 * @param body its content as JSON
	 * @author banyanstile contributors
	 */
	record Fetched(long version, String body) {

	}

}
