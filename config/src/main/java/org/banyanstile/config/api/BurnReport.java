package org.banyanstile.config.api;

import java.util.List;

/**
 * Use of error budget as counted by one VM.
 *
 * @param vm name of the VM
 * @param atMillis Unix time of the report in milliseconds
 * @param series the counts
 * @author banyanstile contributors
 */
public record BurnReport(String vm, long atMillis, List<BurnSeries> series) {

	/**
	 * Copies the list.
	 * @param vm name of the VM
	 * @param atMillis Unix time of the report
	 * @param series the counts
	 */
	public BurnReport {
		series = List.copyOf(series);
	}

}
