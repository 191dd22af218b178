package org.banyanstile.core.store;

import java.util.List;
import java.util.Map;

/**
 * Result of a transaction that the table service has decided.
 *
 * @author banyanstile contributors
 */
public sealed interface TransactionResult {

	/**
	 * All conditions held and all writes were done.
	 *
	 * @param versions new version of each written row; deleted rows are missing
	 */
	record Committed(Map<String, Long> versions) implements TransactionResult {

	}

	/**
	 * A condition did not hold and nothing was written.
	 *
	 * @param current the rows named by the conditions, as they are; absent rows are
	 * missing
	 */
	record Conflict(List<Row> current) implements TransactionResult {

	}

}
