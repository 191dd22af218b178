package org.banyanstile.core.replica;

/**
 * Order of two values of a row by what their writer says. Versions of the store do not
 * order values of different eras: the store may have returned from a copy that holds an
 * older value under a version of the new era.
 *
 * @author banyanstile contributors
 */
@FunctionalInterface
public interface ValueOrder {

	/**
	 * Order of rows whose values do not tell which one is newer.
	 */
	ValueOrder UNKNOWN = (key, one, other) -> 0;

	/**
	 * Compares two values.
	 * @param key key of the row
	 * @param one a value
	 * @param other another value of the same row
	 * @return a negative number if the first one is older, a positive one if it is newer,
	 * 0 if that is not known
	 */
	int compare(String key, byte[] one, byte[] other);

}
