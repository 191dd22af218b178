package org.banyanstile.core.rollout;

/**
 * Outcome of storing a version.
 *
 * @author banyanstile contributors
 */
public sealed interface CommitResult {

	/**
	 * The version is durable.
	 *
	 * @param version the version
	 */
	record Committed(long version) implements CommitResult {

	}

	/**
	 * Nothing was and nothing will be stored, because another version is current.
	 *
	 * @param current the current version
	 */
	record Conflict(long current) implements CommitResult {

	}

	/**
	 * The write may have taken effect or may still do so.
	 *
	 * @param pending the write, for {@link ConfigurationStore#resolve(PendingCommit)}
	 */
	record Unknown(PendingCommit pending) implements CommitResult {

	}

}
