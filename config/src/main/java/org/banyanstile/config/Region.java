package org.banyanstile.config;

import java.util.Arrays;
import java.util.List;

/**
 * A region and its data centres.
 *
 * @param name the name, unique in the fleet
 * @param dataCentres its data centres
 * @author banyanstile contributors
 */
public record Region(String name, List<DataCentre> dataCentres) {

	/**
	 * Copies the list.
	 * @param name the name, unique in the fleet
	 * @param dataCentres its data centres
	 */
	public Region {
		dataCentres = List.copyOf(dataCentres);
	}

	/**
	 * Returns a region whose data centres are all in service.
	 * @param name the name
	 * @param dataCentres names of the data centres
	 * @return the region
	 */
	public static Region of(String name, String... dataCentres) {
		return new Region(name, Arrays.stream(dataCentres).map(DataCentre::of).toList());
	}

}
