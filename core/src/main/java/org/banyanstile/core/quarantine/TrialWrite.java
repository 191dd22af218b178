package org.banyanstile.core.quarantine;

import java.util.List;

/**
 * Outcome of a conditional write of rows with claims.
 *
 * @param applied whether the rows were written
 * @param current the current rows if they were not
 * @param era era of the store in which they were
 * @author banyanstile contributors
 */
public record TrialWrite(boolean applied, List<TrialRow> current, long era) {

	/**
	 * Returns the outcome of a write whose condition held.
	 * @param era era of the store, 0 if it has none
	 * @return the outcome
	 */
	public static TrialWrite ofApplied(long era) {
		return new TrialWrite(true, List.of(), era);
	}

	/**
	 * Returns the outcome of a write whose condition did not hold.
	 * @param current the current rows
	 * @return the outcome
	 */
	public static TrialWrite ofRejected(List<TrialRow> current) {
		return new TrialWrite(false, current, -1);
	}

}
