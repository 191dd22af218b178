package org.banyanstile.benchmark.coordination;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.LongAdder;

import org.banyanstile.core.store.Condition;
import org.banyanstile.core.store.Row;
import org.banyanstile.core.store.TableStore;
import org.banyanstile.core.store.Transaction;
import org.banyanstile.core.store.TransactionResult;
import org.banyanstile.core.store.Write;

/**
 * Table store in memory that counts its calls.
 *
 * @author banyanstile contributors
 */
final class MemoryTable implements TableStore {

	private final TreeMap<String, Row> rows = new TreeMap<>();

	private final LongAdder writes = new LongAdder();

	private final LongAdder reads = new LongAdder();

	private long version;

	@Override
	public synchronized TransactionResult transact(Transaction transaction) {
		this.writes.increment();
		for (Condition condition : transaction.conditions()) {
			Row row = this.rows.get(condition.key());
			if (((row != null) ? row.version() : Condition.ABSENT) != condition.version()) {
				return new TransactionResult.Conflict(
						find(transaction.conditions().stream().map(Condition::key).toList()));
			}
		}
		this.version++;
		Map<String, Long> versions = new HashMap<>();
		for (Write write : transaction.writes()) {
			String value = write.value();
			if (value == null) {
				this.rows.remove(write.key());
			}
			else {
				this.rows.put(write.key(), new Row(write.key(), this.version, value));
				versions.put(write.key(), this.version);
			}
		}
		return new TransactionResult.Committed(versions);
	}

	@Override
	public synchronized List<Row> read(Collection<String> keys) {
		this.reads.increment();
		return find(keys);
	}

	private List<Row> find(Collection<String> keys) {
		return this.rows.values().stream().filter((row) -> keys.contains(row.key())).toList();
	}

	@Override
	public synchronized List<Row> scan(String prefix, int limit) {
		this.reads.increment();
		return this.rows.tailMap(prefix)
			.values()
			.stream()
			.takeWhile((row) -> row.key().startsWith(prefix))
			.limit(limit)
			.toList();
	}

	long writes() {
		return this.writes.sum();
	}

	long reads() {
		return this.reads.sum();
	}

}
