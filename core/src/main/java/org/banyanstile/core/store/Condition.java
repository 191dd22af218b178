package org.banyanstile.core.store;

/**
 * Condition of a transaction on one row.
 *
 * @param key the row key
 * @param version the version that the row must have, or {@link #ABSENT}
 * @author banyanstile contributors
 */
public record Condition(String key, long version) {

	/**
	 * Version of a row that does not exist.
	 */
	public static final long ABSENT = 0;

	/**
	 * Returns the condition that a row does not exist.
	 * @param key the row key
	 * @return the condition
	 */
	public static Condition absent(String key) {
		return new Condition(key, ABSENT);
	}

	/**
	 * Returns the condition that a row is unchanged since it was read.
	 * @param row the row as it was read
	 * @return the condition
	 */
	public static Condition unchanged(Row row) {
		return new Condition(row.key(), row.version());
	}

}
