package org.banyanstile.tools.burn;

import java.util.Comparator;
import java.util.List;

/**
 * Counts of one group in all windows.
 *
 * @param dimension criterion by which the counts are grouped
 * @param name name of the group
 * @param lines one line for each window in which it had requests, the shortest window
 * first
 * @author banyanstile contributors
 */
record BurnGroup(BurnDimension dimension, String name, List<BurnLine> lines) {

	/**
	 * Returns the window with the highest burn rate, or the shortest of several with that
	 * rate.
	 * @return the group in that window
	 */
	BurnLine worst() {
		return this.lines.stream()
			.sorted(Comparator.comparingDouble(BurnLine::burnRate).reversed())
			.findFirst()
			.orElseThrow();
	}

}
