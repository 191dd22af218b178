package org.banyanstile.core.common;

/**
 * Name of a team, the unit to which keys and limits belong and among which capacity is
 * shared fairly.
 *
 * @param name the name, never empty
 * @author banyanstile contributors
 */
public record TeamId(String name) implements Comparable<TeamId> {

	/**
	 * Validates the name.
	 * @param name the name, never empty
	 */
	public TeamId {
		Names.requireValid(name);
	}

	/**
	 * Returns the identifier with a name.
	 * @param name the name, never empty
	 * @return the identifier
	 */
	public static TeamId of(String name) {
		return new TeamId(name);
	}

	@Override
	public int compareTo(TeamId other) {
		return this.name.compareTo(other.name);
	}

	@Override
	public String toString() {
		return this.name;
	}

}
