package org.banyanstile.server.gossip;

/**
 * State of a VM.
 *
 * @author banyanstile contributors
 */
public enum MemberState {

	/**
	 * Started, knows no configuration yet.
	 */
	STARTING,

	/**
	 * Takes requests.
	 */
	SERVING,

	/**
	 * Shuts down and must not be named to callers.
	 */
	LEAVING

}
