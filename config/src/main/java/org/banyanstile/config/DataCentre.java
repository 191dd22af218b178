package org.banyanstile.config;

/**
 * A data centre.
 *
 * @param name the name, unique in the fleet
 * @param drained whether its endpoints receive no new work
 * @author banyanstile contributors
 */
public record DataCentre(String name, boolean drained) {

	/**
	 * Returns a data centre in service.
	 * @param name the name
	 * @return the data centre
	 */
	public static DataCentre of(String name) {
		return new DataCentre(name, false);
	}

	/**
	 * Returns a copy with another drain state.
	 * @param drained whether its endpoints receive no new work
	 * @return the copy
	 */
	public DataCentre withDrained(boolean drained) {
		return new DataCentre(this.name, drained);
	}

}
