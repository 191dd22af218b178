package org.banyanstile.core.common;

/**
 * Name of a data centre.
 *
 * @param name the name, never empty
 * @author banyanstile contributors
 */
public record DataCentreId(String name) implements Comparable<DataCentreId> {

	/**
	 * Validates the name.
	 * @param name the name, never empty
	 */
	public DataCentreId {
		Names.requireValid(name);
	}

	/**
	 * Returns the identifier with a name.
	 * @param name the name, never empty
	 * @return the identifier
	 */
	public static DataCentreId of(String name) {
		return new DataCentreId(name);
	}

	@Override
	public int compareTo(DataCentreId other) {
		return this.name.compareTo(other.name);
	}

	@Override
	public String toString() {
		return this.name;
	}

}
