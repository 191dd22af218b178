package org.banyanstile.core.claim;

import java.util.List;

import org.banyanstile.core.lease.OperationIds;
import org.banyanstile.core.store.Condition;
import org.banyanstile.core.store.Row;
import org.banyanstile.core.store.RowCodec;
import org.banyanstile.core.store.StoreException;
import org.banyanstile.core.store.StoreOutcomeUnknownException;
import org.banyanstile.core.store.TableStore;
import org.banyanstile.core.store.Transaction;
import org.banyanstile.core.store.TransactionResult;
import org.jspecify.annotations.Nullable;

/**
 * Claims of one VM. A call is dispatched only by the VM that holds its claim, and a claim
 * is never granted a second time unless no attempt has run. The methods block while the
 * store does. Safe for use by several threads.
 *
 * @author banyanstile contributors
 */
public final class OnceOnlyClaims {

	/**
	 * Conflicting writes after which the outcome of a claim is reported as unknown. A
	 * write conflicts only if another VM changed the row in between.
	 */
	private static final int MAX_CONFLICTS = 4;

	private final TableStore store;

	private final RowCodec codec;

	private final EpochView epochs;

	private final OperationIds ids;

	private final LocalClaims local = new LocalClaims();

	private OnceOnlyClaims(TableStore store, RowCodec codec, EpochView epochs, OperationIds ids) {
		this.store = store;
		this.codec = codec;
		this.epochs = epochs;
		this.ids = ids;
	}

	/**
	 * Creates the claims of a VM.
	 * @param store the table service
	 * @param codec codec of the rows
	 * @param epochs shows which slot epochs have ended
	 * @param ids identifiers of writes
	 * @return the claims
	 */
	public static OnceOnlyClaims create(TableStore store, RowCodec codec, EpochView epochs, OperationIds ids) {
		return new OnceOnlyClaims(store, codec, epochs, ids);
	}

	/**
	 * Claims a call. The outcome {@code NotRun} means that no attempt known so far has
	 * run or will run.
	 * @param identity identity of the call
	 * @param bodyHash hash of method, path and body
	 * @param holder slot that this VM holds
	 * @return the result
	 */
	public ClaimResult claim(ClaimIdentity identity, String bodyHash, ClaimHolder holder) {
		LocalClaims.Entry known;
		try {
			known = this.local.begin(identity, bodyHash);
		}
		catch (LocalClaims.TooManyClaimsException ex) {
			return new ClaimResult.Unclaimed();
		}
		if (known != null) {
			return resultForRepeatedRequest(known, bodyHash, holder);
		}
		ClaimResult result = new ClaimResult.Settled(new ClaimOutcome.OutcomeUnknown());
		try {
			result = writeClaim(identity, bodyHash, holder);
		}
		finally {
			if (!(result instanceof ClaimResult.Granted)) {
				this.local.remove(identity);
			}
		}
		return result;
	}

	/**
	 * Returns whether this VM is claiming or running a call, or retains its outcome.
	 * @param identity identity of the call
	 * @return whether {@link #claim} needs no store
	 */
	public boolean isLocal(ClaimIdentity identity) {
		return this.local.get(identity) != null;
	}

	/**
	 * Returns whether an earlier attempt of a call may have run or may be running. Used
	 * when a call is rejected without a claim.
	 * @param identity identity of the call
	 * @return {@code false} only if the store shows no claim, or a void one
	 */
	public boolean mayHaveRun(ClaimIdentity identity) {
		if (isLocal(identity)) {
			return true;
		}
		try {
			Row row = find(this.store.read(List.of(identity.rowKey())), identity.rowKey());
			return row != null && ClaimRecord.decode(row, this.codec).state() != ClaimState.VOID;
		}
		catch (StoreException ex) {
			return true;
		}
	}

	private static ClaimResult resultForRepeatedRequest(LocalClaims.Entry known, String bodyHash, ClaimHolder holder) {
		if (!known.bodyHash().equals(bodyHash)) {
			return new ClaimResult.KeyReused();
		}
		ClaimOutcome outcome = known.outcome();
		return (outcome != null) ? new ClaimResult.Settled(outcome) : new ClaimResult.Running(holder);
	}

	private ClaimResult writeClaim(ClaimIdentity identity, String bodyHash, ClaimHolder holder) {
		String key = identity.rowKey();
		Row current = null;
		for (int conflicts = 0; conflicts < MAX_CONFLICTS; conflicts++) {
			ClaimRecord existing = (current != null) ? ClaimRecord.decode(current, this.codec) : null;
			if (current != null && existing != null && existing.state() != ClaimState.VOID) {
				return existing(current, existing, bodyHash, holder);
			}
			if (existing != null && !existing.bodyHash().equals(bodyHash)) {
				return new ClaimResult.KeyReused();
			}
			long attempt = (existing != null) ? existing.attempt() + 1 : 1;
			ClaimRecord record = ClaimRecord.claimed(holder, attempt, this.ids.next(), bodyHash);
			Condition condition = (current != null) ? Condition.unchanged(current) : Condition.absent(key);
			try {
				TransactionResult result = put(condition, record);
				if (result instanceof TransactionResult.Committed committed) {
					return new ClaimResult.Granted(new HeldClaim(identity, record, version(committed, key)));
				}
				current = find(((TransactionResult.Conflict) result).current(), key);
			}
			catch (StoreOutcomeUnknownException ex) {
				return resolve(identity, condition, record);
			}
			catch (StoreException ex) {
				return new ClaimResult.Unclaimed();
			}
		}
		return new ClaimResult.Settled(new ClaimOutcome.OutcomeUnknown());
	}

	/**
	 * Finds out whether a claiming write with an unknown outcome took effect. If it has
	 * not, the row is made {@code VOID}, after which the late write would conflict.
	 * @param identity identity of the call
	 * @param condition condition of the write
	 * @param record the record that it writes
	 * @return the result
	 */
	private ClaimResult resolve(ClaimIdentity identity, Condition condition, ClaimRecord record) {
		try {
			Row row = find(this.store.read(List.of(condition.key())), condition.key());
			long version = (row != null) ? row.version() : Condition.ABSENT;
			if (version == condition.version()) {
				TransactionResult result = put(condition, record.with(ClaimState.VOID));
				if (result instanceof TransactionResult.Committed) {
					return new ClaimResult.Settled(new ClaimOutcome.NotRun());
				}
				row = find(((TransactionResult.Conflict) result).current(), condition.key());
			}
			if (row == null) {
				return new ClaimResult.Settled(new ClaimOutcome.OutcomeUnknown());
			}
			ClaimRecord current = ClaimRecord.decode(row, this.codec);
			if (current.equals(record)) {
				return new ClaimResult.Granted(new HeldClaim(identity, record, row.version()));
			}
			return existing(row, current, record.bodyHash(), record.holder());
		}
		catch (StoreException ex) {
			return new ClaimResult.Settled(new ClaimOutcome.OutcomeUnknown());
		}
	}

	private ClaimResult existing(Row row, ClaimRecord existing, String bodyHash, ClaimHolder self) {
		if (!existing.bodyHash().equals(bodyHash)) {
			return new ClaimResult.KeyReused();
		}
		ClaimOutcome outcome = existing.outcome();
		if (outcome != null) {
			return new ClaimResult.Settled(outcome);
		}
		if (existing.state() == ClaimState.VOID) {
			return new ClaimResult.Settled(new ClaimOutcome.NotRun());
		}
		if (existing.holder().equals(self)) {
			return voidAbandoned(row, existing);
		}
		if (!this.epochs.hasEnded(existing.holder())) {
			return new ClaimResult.Running(existing.holder());
		}
		return close(row, existing.with(ClaimState.UNKNOWN));
	}

	/**
	 * Voids a claim that names this VM as its holder although this VM does not run the
	 * call: the claiming write took effect after this VM had responded to the caller.
	 * @param row the row
	 * @param existing content of the row
	 * @return the result
	 */
	private ClaimResult voidAbandoned(Row row, ClaimRecord existing) {
		return close(row, existing.with(ClaimState.VOID));
	}

	private ClaimResult close(Row row, ClaimRecord closed) {
		ClaimOutcome unknown = new ClaimOutcome.OutcomeUnknown();
		try {
			TransactionResult result = put(Condition.unchanged(row), closed);
			if (result instanceof TransactionResult.Committed) {
				boolean isVoid = closed.state() == ClaimState.VOID;
				return new ClaimResult.Settled(isVoid ? new ClaimOutcome.NotRun() : unknown);
			}
			Row changed = find(((TransactionResult.Conflict) result).current(), row.key());
			ClaimOutcome outcome = (changed != null) ? ClaimRecord.decode(changed, this.codec).outcome() : null;
			return new ClaimResult.Settled((outcome != null) ? outcome : unknown);
		}
		catch (StoreException ex) {
			return new ClaimResult.Settled(unknown);
		}
	}

	/**
	 * Records the outcome of a claimed call. If the store cannot be reached the outcome
	 * is retained and written by {@link #writeRetained()}.
	 * @param claim the claim
	 * @param outcome the outcome; {@code NotRun} only if no byte was sent to an endpoint
	 */
	public void complete(HeldClaim claim, ClaimOutcome outcome) {
		this.local.retain(claim, outcome);
		write(claim, outcome, false);
	}

	/**
	 * Writes the outcomes that could not be stored. Call about once a second.
	 * @return number of outcomes that are still not stored
	 */
	public int writeRetained() {
		for (LocalClaims.Entry entry : this.local.retained()) {
			HeldClaim claim = entry.claim();
			ClaimOutcome outcome = entry.outcome();
			if (claim != null && outcome != null && !write(claim, outcome, true)) {
				break;
			}
		}
		return this.local.retained().size();
	}

	private boolean write(HeldClaim claim, ClaimOutcome outcome, boolean readFirst) {
		String key = claim.identity().rowKey();
		try {
			long version = readFirst ? version(this.store.read(List.of(key)), key) : claim.version();
			if (version < claim.version()) {
				// The reply shows the row as it was before the claim. A claim without its
				// outcome would be voided, and the call would run again.
				return false;
			}
			if (version == claim.version()) {
				// A conflict means that the claim was closed as UNKNOWN, which is final.
				put(new Condition(key, claim.version()), claim.record().with(outcome));
			}
			this.local.remove(claim.identity());
			return true;
		}
		catch (StoreException ex) {
			return false;
		}
	}

	/**
	 * Responds to a query of another VM about a claim that names this VM as its holder.
	 * @param identity identity of the call
	 * @param holder slot that this VM holds
	 * @return the outcome, or {@code null} while the call runs
	 */
	public @Nullable ClaimOutcome query(ClaimIdentity identity, ClaimHolder holder) {
		LocalClaims.Entry known = this.local.get(identity);
		if (known != null) {
			return known.outcome();
		}
		try {
			Row row = find(this.store.read(List.of(identity.rowKey())), identity.rowKey());
			if (row == null) {
				// The other VM has read the claim, so this reply is older than the claim.
				return null;
			}
			LocalClaims.Entry started = this.local.get(identity);
			if (started != null) {
				// The row may be a claim that another thread made in between.
				return started.outcome();
			}
			ClaimRecord current = ClaimRecord.decode(row, this.codec);
			ClaimOutcome outcome = current.outcome();
			if (outcome != null || !current.holder().equals(holder) || current.state() != ClaimState.CLAIMED) {
				return outcome;
			}
			return (voidAbandoned(row, current) instanceof ClaimResult.Settled settled) ? settled.outcome() : null;
		}
		catch (StoreException ex) {
			return null;
		}
	}

	private TransactionResult put(Condition condition, ClaimRecord record) throws StoreException {
		return this.store.transact(Transaction.put(this.ids.next(), condition, record.encode(this.codec)));
	}

	private static long version(TransactionResult.Committed committed, String key) {
		Long version = committed.versions().get(key);
		if (version == null) {
			throw new IllegalStateException("the store returned no version for row " + key);
		}
		return version;
	}

	private static long version(List<Row> rows, String key) {
		Row row = find(rows, key);
		return (row != null) ? row.version() : Condition.ABSENT;
	}

	private static @Nullable Row find(List<Row> rows, String key) {
		return rows.stream().filter((row) -> row.key().equals(key)).findFirst().orElse(null);
	}

}
