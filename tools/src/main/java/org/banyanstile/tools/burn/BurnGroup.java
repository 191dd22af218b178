package org.banyanstile.tools.burn;

import java.util.Comparator;
import java.util.List;

/**
 * One group in all windows.
 *
 * @param dimension by what the counts are grouped
 * @param name name of the group
 * @param lines the group in each window in which it had requests, the shortest first
 * @author banyanstile contributors
 */
record BurnGroup(BurnDimension dimension, String name, List<BurnLine> lines) {

	/**
	 * Returns the window with the highest burn rate, the shortest of equal ones.
	 * @return the group in that window
	 */
	BurnLine worst() {
		return this.lines.stream()
			.sorted(Comparator.comparingDouble(BurnLine::burnRate).reversed())
			.findFirst()
			.orElseThrow();
	}

}
