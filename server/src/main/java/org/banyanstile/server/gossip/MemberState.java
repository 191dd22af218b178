package org.banyanstile.server.gossip;

/**
 * State of a VM.
 *
 * @author banyanstile contributors
 */
public enum MemberState {

	/**
	 * Started, but has no configuration yet.
	 */
	STARTING,

	/**
	 * Accepts requests.
	 */
	SERVING,

	/**
	 * Is shutting down; the directory must not return it to callers.
	 */
	LEAVING

}
