package org.banyanstile.core.quarantine;

/**
 * Era of the store as this VM knows it. The store may have lost claims of earlier eras.
 *
 * @author banyanstile contributors
 */
public interface StoreEra {

	/**
	 * A store that never returns from a copy.
	 */
	StoreEra ONLY = new StoreEra() {

		@Override
		public long number() {
			return 0;
		}

		@Override
		public long knownNanos() {
			return Long.MAX_VALUE;
		}

	};

	/**
	 * Returns the era.
	 * @return its number, negative if the store was never read
	 */
	long number();

	/**
	 * Returns for how long this VM has known the era.
	 * @return the time in nanoseconds
	 */
	long knownNanos();

}
