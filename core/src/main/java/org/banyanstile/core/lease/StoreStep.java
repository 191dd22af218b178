package org.banyanstile.core.lease;

import java.util.List;

import org.banyanstile.core.store.Transaction;

/**
 * A store call to be executed, for example by {@link StoreReply#execute}.
 *
 * @author banyanstile contributors
 */
public sealed interface StoreStep {

	/**
	 * Returns the time before the call is sent.
	 * @return the time
	 */
	long sentAt();

	/**
	 * Applies a transaction.
	 *
	 * @param transaction the transaction
	 * @param sentAt time before the call is sent
	 */
	record Transact(Transaction transaction, long sentAt) implements StoreStep {

	}

	/**
	 * Reads rows.
	 *
	 * @param keys the row keys
	 * @param sentAt time before the call is sent
	 */
	record Read(List<String> keys, long sentAt) implements StoreStep {

	}

	/**
	 * Reads all rows with a prefix.
	 *
	 * @param prefix the prefix
	 * @param limit largest number of rows
	 * @param sentAt time before the call is sent
	 */
	record Scan(String prefix, int limit, long sentAt) implements StoreStep {

	}

}
