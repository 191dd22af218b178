package org.banyanstile.core.common;

/**
 * Name of an endpoint that requests are routed to.
 *
 * @param name the name, never empty
 * @author banyanstile contributors
 */
public record EndpointId(String name) implements Comparable<EndpointId> {

	/**
	 * Validates the name.
	 * @param name the name, never empty
	 */
	public EndpointId {
		Names.requireValid(name);
	}

	/**
	 * Returns the identifier with a name.
	 * @param name the name, never empty
	 * @return the identifier
	 */
	public static EndpointId of(String name) {
		return new EndpointId(name);
	}

	@Override
	public int compareTo(EndpointId other) {
		return this.name.compareTo(other.name);
	}

	@Override
	public String toString() {
		return this.name;
	}

}
