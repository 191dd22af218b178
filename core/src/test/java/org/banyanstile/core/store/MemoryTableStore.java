package org.banyanstile.core.store;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * In-memory table store that can be made to fail its next calls.
 *
 * @author banyanstile contributors
 */
public final class MemoryTableStore implements TableStore {

	private final TreeMap<String, Row> rows = new TreeMap<>();

	private final Deque<Fault> faults = new ArrayDeque<>();

	private final List<Transaction> delayed = new ArrayList<>();

	private long version;

	/**
	 * Sets the faults of the next calls.
	 * @param next the faults in order
	 */
	public void failNext(Fault... next) {
		this.faults.addAll(List.of(next));
	}

	/**
	 * Applies the transactions that were delayed.
	 */
	public void applyDelayed() {
		this.delayed.forEach(this::apply);
		this.delayed.clear();
	}

	@Override
	public TransactionResult transact(Transaction transaction) throws StoreException {
		Fault fault = fault();
		if (fault == Fault.DELAYED) {
			this.delayed.add(transaction);
			throw new StoreOutcomeUnknownException("delayed", null);
		}
		TransactionResult result = apply(transaction);
		if (fault == Fault.LOST_REPLY) {
			throw new StoreOutcomeUnknownException("lost reply", null);
		}
		return result;
	}

	/**
	 * Applies a transaction.
	 * @param transaction the transaction
	 * @return the result
	 */
	public TransactionResult apply(Transaction transaction) {
		boolean holds = transaction.conditions().stream().allMatch((condition) -> {
			Row row = this.rows.get(condition.key());
			return ((row != null) ? row.version() : Condition.ABSENT) == condition.version();
		});
		if (!holds) {
			return new TransactionResult.Conflict(find(transaction.conditions().stream().map(Condition::key).toList()));
		}
		this.version++;
		Map<String, Long> versions = new HashMap<>();
		for (Write write : transaction.writes()) {
			if (write.value() == null) {
				this.rows.remove(write.key());
				continue;
			}
			this.rows.put(write.key(), new Row(write.key(), this.version, write.value()));
			versions.put(write.key(), this.version);
		}
		return new TransactionResult.Committed(versions);
	}

	@Override
	public List<Row> read(Collection<String> keys) throws StoreException {
		if (fault() != null) {
			throw new StoreOutcomeUnknownException("read failed", null);
		}
		return find(keys);
	}

	/**
	 * Returns rows without injecting faults.
	 * @param keys the row keys
	 * @return the rows that exist
	 */
	public List<Row> find(Collection<String> keys) {
		return keys.stream().filter(this.rows::containsKey).map(this.rows::get).toList();
	}

	@Override
	public List<Row> scan(String prefix, int limit) throws StoreException {
		if (fault() != null) {
			throw new StoreOutcomeUnknownException("scan failed", null);
		}
		return withPrefix(prefix);
	}

	/**
	 * Returns rows without injecting faults.
	 * @param prefix the prefix
	 * @return the rows in key order
	 */
	public List<Row> withPrefix(String prefix) {
		return List.copyOf(this.rows.subMap(prefix, prefix + '\uffff').values());
	}

	private Fault fault() throws StoreException {
		Fault fault = this.faults.poll();
		if (fault == Fault.UNAVAILABLE) {
			throw new StoreUnavailableException("store down", null);
		}
		return (fault != Fault.NONE) ? fault : null;
	}

	/**
	 * Failure of one call.
	 */
	public enum Fault {

		/** The call succeeds. */
		NONE,
		/** The call fails without effect. */
		UNAVAILABLE,
		/** The call takes effect and its reply is lost. */
		LOST_REPLY,
		/** The call has no effect before {@link MemoryTableStore#applyDelayed()}. */
		DELAYED

	}

}
