package org.banyanstile.core.lease;

import java.util.List;

import org.banyanstile.core.store.Row;
import org.banyanstile.core.store.StoreException;
import org.banyanstile.core.store.StoreOutcomeUnknownException;
import org.banyanstile.core.store.TableStore;
import org.banyanstile.core.store.TransactionResult;

/**
 * Result of a {@link StoreStep}.
 *
 * @author banyanstile contributors
 */
public sealed interface StoreReply {

	/**
	 * Executes a step. Blocks as long as the store call does.
	 * @param step the step
	 * @param store the store
	 * @return the result
	 */
	static StoreReply execute(StoreStep step, TableStore store) {
		try {
			if (step instanceof StoreStep.Transact transact) {
				return new Decided(store.transact(transact.transaction()));
			}
			if (step instanceof StoreStep.Scan scan) {
				return new Rows(store.scan(scan.prefix(), scan.limit()));
			}
			return new Rows(store.read(((StoreStep.Read) step).keys()));
		}
		catch (StoreOutcomeUnknownException ex) {
			return new Unknown();
		}
		catch (StoreException ex) {
			return new Failed();
		}
	}

	/**
	 * The transaction was decided.
	 *
	 * @param result committed or in conflict
	 */
	record Decided(TransactionResult result) implements StoreReply {

	}

	/**
	 * Rows were read.
	 *
	 * @param rows the rows that exist
	 */
	record Rows(List<Row> rows) implements StoreReply {

	}

	/**
	 * The call did not and will not take effect.
	 */
	record Failed() implements StoreReply {

	}

	/**
	 * The call may have taken effect or may still do so.
	 */
	record Unknown() implements StoreReply {

	}

}
