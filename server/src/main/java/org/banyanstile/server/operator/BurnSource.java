package org.banyanstile.server.operator;

import org.banyanstile.config.api.BurnReport;

/**
 * Error-budget counters of this VM for operators.
 *
 * @author banyanstile contributors
 */
@FunctionalInterface
public interface BurnSource {

	/**
	 * Returns the counters.
	 * @return the counters of this VM
	 */
	BurnReport report();

}
