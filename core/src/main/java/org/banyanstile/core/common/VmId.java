package org.banyanstile.core.common;

/**
 * Name of a VM of the fleet.
 *
 * @param name the name, never empty
 * @author banyanstile contributors
 */
public record VmId(String name) implements Comparable<VmId> {

	/**
	 * Validates the name.
	 * @param name the name, never empty
	 */
	public VmId {
		Names.requireValid(name);
	}

	/**
	 * Returns the identifier with a name.
	 * @param name the name, never empty
	 * @return the identifier
	 */
	public static VmId of(String name) {
		return new VmId(name);
	}

	@Override
	public int compareTo(VmId other) {
		return this.name.compareTo(other.name);
	}

	@Override
	public String toString() {
		return this.name;
	}

}
