package org.banyanstile.core.store;

import java.util.List;

/**
 * Atomic set of conditional writes.
 *
 * @param operationId identifier of this attempt, for finding out later whether it took
 * effect
 * @param conditions conditions that must all hold
 * @param writes writes that are made if they hold
 * @author banyanstile contributors
 */
public record Transaction(String operationId, List<Condition> conditions, List<Write> writes) {

	/**
	 * Copies the lists.
	 * @param operationId identifier of this attempt
	 * @param conditions conditions that must all hold
	 * @param writes writes that are made if they hold
	 */
	public Transaction {
		conditions = List.copyOf(conditions);
		writes = List.copyOf(writes);
	}

	/**
	 * Returns a transaction that writes one row under a condition on the same row.
	 * @param operationId identifier of this attempt
	 * @param condition the condition
	 * @param value the new value
	 * @return the transaction
	 */
	public static Transaction put(String operationId, Condition condition, String value) {
		return new Transaction(operationId, List.of(condition), List.of(new Write(condition.key(), value)));
	}

}
