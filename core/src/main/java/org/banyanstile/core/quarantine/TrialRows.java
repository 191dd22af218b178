package org.banyanstile.core.quarantine;

import java.io.IOException;
import java.util.List;

/**
 * Rows of the store that hold claims to trials.
 *
 * @author banyanstile contributors
 */
@FunctionalInterface
public interface TrialRows {

	/**
	 * Writes rows if all of them still have the given versions.
	 * @param rows the rows
	 * @return whether they were written, and the current rows if not
	 * @throws IOException if the store did not respond, so the outcome is unknown
	 */
	TrialWrite write(List<TrialRow> rows) throws IOException;

}
