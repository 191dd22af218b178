package org.banyanstile.core.rollout;

import org.jspecify.annotations.Nullable;

/**
 * The configuration version in force at this VM. It only increases: pushes, reads and
 * fetches from peers can arrive in any order, and an old one must not make a withdrawn
 * key valid again. Safe for use by several threads.
 *
 * @param <C> type of the content
 * @author banyanstile contributors
 */
public final class VersionHolder<C> {

	private volatile @Nullable AppliedVersion<C> current;

	private VersionHolder() {
	}

	/**
	 * Creates an empty holder.
	 * @param <C> type of the content
	 * @return the holder
	 */
	public static <C> VersionHolder<C> create() {
		return new VersionHolder<>();
	}

	/**
	 * Applies a version if it is higher than the one in force.
	 * @param version the version, at least 1
	 * @param content its content
	 * @return whether it was applied
	 */
	public synchronized boolean apply(long version, C content) {
		if (version <= version()) {
			return false;
		}
		this.current = new AppliedVersion<>(version, content);
		return true;
	}

	/**
	 * Returns the version in force.
	 * @return the version and its content, or {@code null} before the first one
	 */
	public @Nullable AppliedVersion<C> current() {
		return this.current;
	}

	/**
	 * Returns the number of the version in force.
	 * @return the version, 0 before the first one
	 */
	public long version() {
		AppliedVersion<C> applied = this.current;
		return (applied != null) ? applied.version() : 0;
	}

}
