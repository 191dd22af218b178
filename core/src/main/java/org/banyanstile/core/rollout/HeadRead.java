package org.banyanstile.core.rollout;

/**
 * What a read of {@code config/head} means for this VM.
 *
 * @author banyanstile contributors
 */
public enum HeadRead {

	/**
	 * The version in force here was current when the read was sent.
	 */
	CONFIRMED,

	/**
	 * A higher version exists, and its content must be fetched.
	 */
	BEHIND,

	/**
	 * The read returned a lower version than one that is known to exist. It is rejected.
	 */
	STALE

}
