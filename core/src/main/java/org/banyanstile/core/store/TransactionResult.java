package org.banyanstile.core.store;

import java.util.List;
import java.util.Map;

/**
 * Result of a transaction that the table service has committed or rejected.
 *
 * @author banyanstile contributors
 */
public sealed interface TransactionResult {

	/**
	 * All conditions held and all writes were made.
	 *
	 * @param versions new version of each written row, without deleted rows
	 */
	record Committed(Map<String, Long> versions) implements TransactionResult {

	}

	/**
	 * A condition did not hold and nothing was written.
	 *
	 * @param current the current rows named by the conditions, without those that do not
	 * exist
	 */
	record Conflict(List<Row> current) implements TransactionResult {

	}

}
