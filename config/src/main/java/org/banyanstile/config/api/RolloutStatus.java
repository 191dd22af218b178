package org.banyanstile.config.api;

import java.util.List;

/**
 * Progress of the current version of the configuration, as one VM sees it.
 *
 * @param version the current version
 * @param state its progress
 * @param registered number of registered VMs
 * @param acknowledged number of registered VMs that reported this version or a later one
 * @param missing names of the registered VMs that did not
 * @author banyanstile contributors
 */
public record RolloutStatus(long version, RolloutState state, int registered, int acknowledged, List<String> missing) {

	/**
	 * Copies the list.
	 * @param version the current version
	 * @param state its progress
	 * @param registered number of registered VMs
	 * @param acknowledged number of VMs that reported the version
	 * @param missing names of the VMs that did not
	 */
	public RolloutStatus {
		missing = List.copyOf(missing);
	}

}
