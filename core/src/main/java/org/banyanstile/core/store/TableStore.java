package org.banyanstile.core.store;

import java.util.Collection;
import java.util.List;

/**
 * The platform's transactional table service. Calls block; implementations are safe for
 * use by several threads.
 *
 * @author banyanstile contributors
 */
public interface TableStore {

	/**
	 * Applies a transaction.
	 * @param transaction the transaction
	 * @return whether it was committed
	 * @throws StoreException if the service gave no usable response;
	 * {@link StoreOutcomeUnknownException} if the transaction may have taken effect or
	 * may still do so
	 */
	TransactionResult transact(Transaction transaction) throws StoreException;

	/**
	 * Reads rows.
	 * @param keys the row keys
	 * @return the rows that exist
	 * @throws StoreException if the service gave no usable response
	 */
	List<Row> read(Collection<String> keys) throws StoreException;

	/**
	 * Reads the rows whose key has a prefix, in key order.
	 * @param prefix the prefix
	 * @param limit largest number of rows
	 * @return the rows
	 * @throws StoreException if the service gave no usable response
	 */
	List<Row> scan(String prefix, int limit) throws StoreException;

}
