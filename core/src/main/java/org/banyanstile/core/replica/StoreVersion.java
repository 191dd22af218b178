package org.banyanstile.core.replica;

/**
 * Versions of the store as numbers that can be compared also after the store has returned
 * from a copy. It then begins a new era and gives out its versions again, so a version
 * holds the era in its high bits and the number that the store gave out in the low ones.
 *
 * @author banyanstile contributors
 */
public final class StoreVersion {

	private static final int NUMBER_BITS = 40;

	private static final int ERA_BITS = 22;

	/**
	 * Largest number that the store can give out.
	 */
	public static final long MAX_NUMBER = (1L << NUMBER_BITS) - 1;

	/**
	 * Largest era, so that a version is never negative.
	 */
	public static final long MAX_ERA = (1L << ERA_BITS) - 1;

	private StoreVersion() {
	}

	/**
	 * Returns a version.
	 * @param era era of the store, up to {@link #MAX_ERA}
	 * @param number number that the store gave out in it, up to {@link #MAX_NUMBER}
	 * @return the version, higher than any version of an earlier era
	 */
	public static long of(long era, long number) {
		if (era < 0 || era > MAX_ERA || number < 0 || number > MAX_NUMBER) {
			throw new IllegalArgumentException("era " + era + " or number " + number + " is out of range");
		}
		return era << NUMBER_BITS | number;
	}

	/**
	 * Returns the era of a version.
	 * @param version the version
	 * @return the era
	 */
	public static long era(long version) {
		return version >>> NUMBER_BITS;
	}

	/**
	 * Returns the number that the store gave out.
	 * @param version the version
	 * @return the number
	 */
	public static long number(long version) {
		return version & MAX_NUMBER;
	}

	/**
	 * Returns whether two versions are of the same era.
	 * @param one a version
	 * @param other another one
	 * @return whether they are
	 */
	public static boolean isSameEra(long one, long other) {
		return era(one) == era(other);
	}

	/**
	 * Returns a version as text for people.
	 * @param version the version, or a negative number for none
	 * @return era and number, separated by a dot
	 */
	public static String toText(long version) {
		return (version < 0) ? "none" : era(version) + "." + number(version);
	}

}
