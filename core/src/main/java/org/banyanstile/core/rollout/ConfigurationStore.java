package org.banyanstile.core.rollout;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.function.Supplier;

import org.banyanstile.core.store.Condition;
import org.banyanstile.core.store.Fields;
import org.banyanstile.core.store.Row;
import org.banyanstile.core.store.RowCodec;
import org.banyanstile.core.store.StoreException;
import org.banyanstile.core.store.StoreOutcomeUnknownException;
import org.banyanstile.core.store.TableStore;
import org.banyanstile.core.store.Transaction;
import org.banyanstile.core.store.TransactionResult;
import org.banyanstile.core.store.Write;
import org.jspecify.annotations.Nullable;

/**
 * Versions of the configuration in the table service: the row {@code config/head} names
 * the current version, the rows {@code config/body/<N>} hold the contents. Blocks as long
 * as the store does. Safe for use by several threads.
 *
 * @author banyanstile contributors
 */
public final class ConfigurationStore {

	/**
	 * Key of the row that names the current version.
	 */
	public static final String HEAD_KEY = "config/head";

	private static final String BODY_PREFIX = "config/body/";

	/**
	 * Number of contents that are retained. A commit whose reply was lost is looked up in
	 * them, so they must cover the versions that others can commit in that time.
	 */
	private static final long RETAINED_BODIES = 64;

	private static final int RESOLVE_ATTEMPTS = 3;

	private final TableStore store;

	private final RowCodec codec;

	private final Supplier<String> operationIds;

	private ConfigurationStore(TableStore store, RowCodec codec, Supplier<String> operationIds) {
		this.store = store;
		this.codec = codec;
		this.operationIds = operationIds;
	}

	/**
	 * Creates the store.
	 * @param store the table service
	 * @param codec codec of the rows
	 * @param operationIds source of identifiers that are unique over all processes
	 * @return the store
	 */
	public static ConfigurationStore create(TableStore store, RowCodec codec, Supplier<String> operationIds) {
		return new ConfigurationStore(store, codec, operationIds);
	}

	/**
	 * Reads the current version.
	 * @return the version, 0 if none was ever stored
	 * @throws StoreException if the service gave no usable response
	 */
	public long head() throws StoreException {
		return version(this.store.read(List.of(HEAD_KEY)));
	}

	/**
	 * Returns the version that the row {@code config/head} names.
	 * @param head the row, or {@code null} if it is absent
	 * @return the version, 0 if the row is absent
	 */
	public long version(@Nullable Row head) {
		return (head != null) ? Fields.of(head, this.codec).number("version") : 0;
	}

	/**
	 * Reads the content of a version.
	 * @param version the version
	 * @return the content, or {@code null} if it does not exist or is no longer retained
	 * @throws StoreException if the service gave no usable response
	 */
	public @Nullable String body(long version) throws StoreException {
		Row row = find(this.store.read(List.of(BODY_PREFIX + version)), BODY_PREFIX + version);
		return (row != null) ? Fields.of(row, this.codec).text("body") : null;
	}

	/**
	 * Stores a new version. If the reply is lost, the outcome is determined by reading
	 * the rows back, as far as the store responds.
	 * @param replaced the version that it replaces
	 * @param body the content
	 * @return the outcome
	 * @throws StoreException if nothing was and nothing will be stored, because the call
	 * to the service failed
	 */
	public CommitResult commit(long replaced, String body) throws StoreException {
		List<Row> rows = this.store.read(List.of(HEAD_KEY));
		long current = version(rows);
		if (current != replaced) {
			return new CommitResult.Conflict(current);
		}
		long headRow = rows.isEmpty() ? Condition.ABSENT : rows.get(0).version();
		PendingCommit pending = new PendingCommit(this.operationIds.get(), replaced + 1, headRow, body);
		CommitResult result;
		try {
			result = decided(pending, this.store.transact(transaction(pending)));
		}
		catch (StoreOutcomeUnknownException ex) {
			result = new CommitResult.Unknown(pending);
		}
		for (int i = 0; i < RESOLVE_ATTEMPTS && result instanceof CommitResult.Unknown; i++) {
			result = resolve(pending);
		}
		return result;
	}

	/**
	 * Finds out whether a write took effect. If the store shows that it has not, the same
	 * transaction is sent again: both require that {@code config/head} is unchanged, so
	 * only one of them can take effect, and once the store has responded to the second
	 * one the first can no longer take effect.
	 * @param pending the write
	 * @return the outcome, possibly still unknown
	 */
	public CommitResult resolve(PendingCommit pending) {
		try {
			List<Row> rows = this.store.read(List.of(HEAD_KEY, bodyKey(pending)));
			Row head = find(rows, HEAD_KEY);
			boolean unchanged = ((head != null) ? head.version() : Condition.ABSENT) == pending.headRow();
			if (unchanged && find(rows, bodyKey(pending)) == null) {
				return decided(pending, this.store.transact(transaction(pending)));
			}
			return outcomeFrom(pending, rows);
		}
		catch (StoreException ex) {
			// Even a rejected second write says nothing about the first one.
			return new CommitResult.Unknown(pending);
		}
	}

	private CommitResult decided(PendingCommit pending, TransactionResult result) {
		if (result instanceof TransactionResult.Conflict conflict) {
			return outcomeFrom(pending, conflict.current());
		}
		return new CommitResult.Committed(pending.version());
	}

	/**
	 * Determines the outcome from rows that differ from those that the write replaces.
	 * @param pending the write
	 * @param rows the rows of the head and of the new version, as far as they exist
	 * @return the outcome
	 */
	private CommitResult outcomeFrom(PendingCommit pending, List<Row> rows) {
		Row body = find(rows, bodyKey(pending));
		if (body == null && version(rows) >= pending.version() + RETAINED_BODIES) {
			return new CommitResult.Unknown(pending);
		}
		if (body != null && Fields.of(body, this.codec).text("operationId").equals(pending.operationId())) {
			return new CommitResult.Committed(pending.version());
		}
		return new CommitResult.Conflict(Math.max(version(rows), (body != null) ? pending.version() : 0));
	}

	private Transaction transaction(PendingCommit pending) {
		List<Write> writes = new ArrayList<>();
		writes.add(new Write(HEAD_KEY, encode(pending, "version", pending.version())));
		writes.add(new Write(bodyKey(pending), encode(pending, "body", pending.body())));
		if (pending.version() > RETAINED_BODIES) {
			writes.add(new Write(BODY_PREFIX + (pending.version() - RETAINED_BODIES), null));
		}
		return new Transaction(pending.operationId(),
				List.of(new Condition(HEAD_KEY, pending.headRow()), Condition.absent(bodyKey(pending))), writes);
	}

	private String encode(PendingCommit pending, String name, Object value) {
		Map<String, Object> fields = new LinkedHashMap<>();
		fields.put(name, value);
		fields.put("operationId", pending.operationId());
		return this.codec.encode(fields);
	}

	private static String bodyKey(PendingCommit pending) {
		return BODY_PREFIX + pending.version();
	}

	private long version(List<Row> rows) {
		return version(find(rows, HEAD_KEY));
	}

	private static @Nullable Row find(List<Row> rows, String key) {
		return rows.stream().filter((row) -> Objects.equals(row.key(), key)).findFirst().orElse(null);
	}

}
