package org.banyanstile.server.operator;

import java.io.UncheckedIOException;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.type.TypeReference;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.banyanstile.core.store.Row;
import org.banyanstile.core.store.RowCodec;
import org.banyanstile.core.store.StoreException;
import org.banyanstile.core.store.StoreOutcomeUnknownException;
import org.banyanstile.core.store.StoreUnavailableException;
import org.banyanstile.core.store.TableStore;
import org.banyanstile.core.store.Transaction;
import org.banyanstile.core.store.TransactionResult;

/**
 * Fake table service with the codec of its rows. While replies are lost, transactions
 * take effect and reads fail.
 *
 * @author banyanstile contributors
 */
final class FakeTableStore implements TableStore, RowCodec {

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private final Map<String, Row> rows = new TreeMap<>();

	private long version;

	private int repliesToLose;

	private boolean down;

	private int ids;

	String nextId() {
		return "op" + ++this.ids;
	}

	void loseReplies(int count) {
		this.repliesToLose = count;
	}

	void setDown(boolean down) {
		this.down = down;
	}

	@Override
	public TransactionResult transact(Transaction transaction) throws StoreException {
		requireUp();
		if (!transaction.conditions()
			.stream()
			.allMatch((condition) -> condition.version() == versionOf(condition.key()))) {
			return new TransactionResult.Conflict(
					read(transaction.conditions().stream().map((condition) -> condition.key()).toList()));
		}
		this.version++;
		transaction.writes()
			.forEach((write) -> this.rows.put(write.key(), new Row(write.key(), this.version, write.value())));
		if (this.repliesToLose > 0) {
			throw new StoreOutcomeUnknownException("lost reply", null);
		}
		return new TransactionResult.Committed(Map.of());
	}

	private long versionOf(String key) {
		Row row = this.rows.get(key);
		return (row != null) ? row.version() : 0;
	}

	private void requireUp() throws StoreException {
		if (this.down) {
			throw new StoreUnavailableException("down", null);
		}
	}

	@Override
	public List<Row> read(Collection<String> keys) throws StoreException {
		requireUp();
		if (this.repliesToLose > 0 && !this.rows.isEmpty()) {
			this.repliesToLose--;
			throw new StoreOutcomeUnknownException("lost reply", null);
		}
		return keys.stream().filter(this.rows::containsKey).map(this.rows::get).toList();
	}

	@Override
	public List<Row> scan(String prefix, int limit) {
		return this.rows.values().stream().filter((row) -> row.key().startsWith(prefix)).limit(limit).toList();
	}

	@Override
	public String encode(Map<String, Object> fields) {
		try {
			return MAPPER.writeValueAsString(fields);
		}
		catch (JsonProcessingException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	@Override
	public Map<String, Object> decode(String value) {
		try {
			return MAPPER.readValue(value, new TypeReference<Map<String, Object>>() {
			});
		}
		catch (JsonProcessingException ex) {
			throw new IllegalArgumentException(ex);
		}
	}

}
