package org.banyanstile.core.canary;

/**
 * Phase of a rollout. If two VMs know different phases of one rollout, the later constant
 * holds: a rollback overrides any share of traffic, and a completed rollout, which is
 * announced only after it is written, cannot be rolled back.
 *
 * @author banyanstile contributors
 */
public enum RolloutPhase {

	/**
	 * A small share of the requests goes to all endpoints of the new version.
	 */
	SAMPLE,

	/**
	 * A larger share goes to few endpoints of the new version, which are loaded as they
	 * would be by all of the traffic.
	 */
	LOAD,

	/**
	 * All new requests go to the new version, and requests of the old version end.
	 */
	FULL,

	/**
	 * The old version gets all requests. Final.
	 */
	ROLLED_BACK,

	/**
	 * The new version gets all requests, and endpoints of the old one may stop. Final.
	 */
	COMPLETED;

	/**
	 * Returns whether no other phase follows.
	 * @return whether it is final
	 */
	public boolean isFinal() {
		return this == ROLLED_BACK || this == COMPLETED;
	}

}
