package org.banyanstile.emulator.platform;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;

import org.banyanstile.core.store.Condition;
import org.banyanstile.core.store.Row;
import org.banyanstile.core.store.Transaction;
import org.banyanstile.core.store.TransactionResult;
import org.banyanstile.core.store.Write;

/**
 * Rows in key order, changed by conditional transactions. All rows share one version
 * counter, so a row that was deleted and written again never reuses a version.
 *
 * @author banyanstile contributors
 */
final class Table {

	private final NavigableMap<String, Row> rows = new TreeMap<>();

	private long version;

	synchronized TransactionResult transact(Transaction transaction) {
		for (Condition condition : transaction.conditions()) {
			Row row = this.rows.get(condition.key());
			if (((row != null) ? row.version() : 0) != condition.version()) {
				return new TransactionResult.Conflict(
						read(transaction.conditions().stream().map(Condition::key).toList()));
			}
		}
		Map<String, Long> versions = new LinkedHashMap<>();
		for (Write write : transaction.writes()) {
			this.version++;
			if (write.value() == null) {
				this.rows.remove(write.key());
			}
			else {
				this.rows.put(write.key(), new Row(write.key(), this.version, write.value()));
				versions.put(write.key(), this.version);
			}
		}
		return new TransactionResult.Committed(versions);
	}

	synchronized List<Row> read(Collection<String> keys) {
		List<Row> found = new ArrayList<>();
		for (String key : keys) {
			Row row = this.rows.get(key);
			if (row != null) {
				found.add(row);
			}
		}
		return found;
	}

	synchronized List<Row> scan(String prefix, int limit) {
		List<Row> found = new ArrayList<>();
		for (Row row : this.rows.tailMap(prefix, true).values()) {
			if (!row.key().startsWith(prefix) || found.size() >= limit) {
				break;
			}
			found.add(row);
		}
		return found;
	}

}
