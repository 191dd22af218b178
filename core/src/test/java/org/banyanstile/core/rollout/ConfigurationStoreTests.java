package org.banyanstile.core.rollout;

import java.util.Collection;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

import org.banyanstile.core.store.MemoryTableStore;
import org.banyanstile.core.store.MemoryTableStore.Fault;
import org.banyanstile.core.store.Row;
import org.banyanstile.core.store.StoreException;
import org.banyanstile.core.store.StoreUnavailableException;
import org.banyanstile.core.store.TableStore;
import org.banyanstile.core.store.TextRowCodec;
import org.banyanstile.core.store.Transaction;
import org.banyanstile.core.store.TransactionResult;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.nullValue;
import static org.junit.jupiter.api.Assertions.assertThrows;

/**
 * Tests for {@link ConfigurationStore} with lost, late and old replies.
 *
 * @author banyanstile contributors
 */
class ConfigurationStoreTests {

	private final MemoryTableStore table = new MemoryTableStore();

	private final AtomicInteger ids = new AtomicInteger();

	private final ConfigurationStore store = over(this.table);

	private ConfigurationStore over(TableStore table) {
		return ConfigurationStore.create(table, new TextRowCodec(), () -> "op" + this.ids.incrementAndGet());
	}

	private static CommitResult committed(long version) {
		return new CommitResult.Committed(version);
	}

	private static CommitResult conflict(long current) {
		return new CommitResult.Conflict(current);
	}

	private int versions() {
		return this.table.withPrefix("config/body/").size();
	}

	@Test
	void storesOneVersionAfterAnother() throws Exception {
		assertThat(this.store.head(), is(0L));
		assertThat(this.store.commit(0, "a"), is(committed(1)));
		assertThat(this.store.commit(0, "b"), is(conflict(1)));
		assertThat(this.store.commit(1, "b"), is(committed(2)));
		assertThat(this.store.head(), is(2L));
		assertThat(this.store.body(1), is("a"));
		assertThat(this.store.body(3), is(nullValue()));
	}

	/**
	 * Guards against reporting a version that is in force as not stored.
	 */
	@Test
	void aLostReplyIsReadBackAsCommitted() throws Exception {
		this.table.failNext(Fault.NONE, Fault.LOST_REPLY);
		assertThat(this.store.commit(0, "a"), is(committed(1)));
		assertThat(versions(), is(1));
	}

	/**
	 * Guards against a late first write that resets the head to an earlier version.
	 */
	@Test
	void aLateWriteTakesNoEffectAfterTheSecondOne() throws Exception {
		this.table.failNext(Fault.NONE, Fault.DELAYED);
		assertThat(this.store.commit(0, "a"), is(committed(1)));
		assertThat(this.store.commit(1, "b"), is(committed(2)));
		this.table.applyDelayed();
		assertThat(this.store.head(), is(2L));
		assertThat(versions(), is(2));
	}

	/**
	 * Guards against reporting "not stored" when the second write is rejected while the
	 * first one can still take effect.
	 */
	@Test
	void aRefusedSecondWriteLeavesTheOutcomeUnknown() throws Exception {
		this.table.failNext(Fault.NONE, Fault.DELAYED, Fault.NONE, Fault.UNAVAILABLE, Fault.UNAVAILABLE,
				Fault.UNAVAILABLE);
		CommitResult result = this.store.commit(0, "a");
		assertThat(result, is(instanceOf(CommitResult.Unknown.class)));
		this.table.applyDelayed();
		assertThat(this.store.resolve(((CommitResult.Unknown) result).pending()), is(committed(1)));
		assertThat(versions(), is(1));
	}

	@Test
	void aRefusedFirstWriteIsNotStored() {
		this.table.failNext(Fault.NONE, Fault.UNAVAILABLE);
		assertThrows(StoreUnavailableException.class, () -> this.store.commit(0, "a"));
		assertThat(versions(), is(0));
	}

	/**
	 * Guards against reporting success to two operators who both commit version 2.
	 */
	@Test
	void oneOfTwoRacingOperatorsGetsAConflict() throws Exception {
		this.store.commit(0, "a");
		CommitResult[] first = new CommitResult[1];
		ConfigurationStore second = over(
				new Intercepted(this.table, () -> first[0] = this.store.commit(1, "first"), List.of()));
		assertThat(second.commit(1, "second"), is(conflict(2)));
		assertThat(first[0], is(committed(2)));
		assertThat(this.store.body(2), is("first"));
	}

	/**
	 * Guards against mistaking the version of a concurrent commit for the own one when
	 * the reply is lost: the head has the expected number in both cases.
	 */
	@Test
	void theLoserOfARaceIsNotCommittedAfterALostReply() throws Exception {
		this.store.commit(0, "a");
		ConfigurationStore second = over(new Intercepted(this.table, () -> {
			this.store.commit(1, "same text");
			this.table.failNext(Fault.LOST_REPLY);
		}, List.of()));
		assertThat(second.commit(1, "same text"), is(conflict(2)));
	}

	/**
	 * Guards against a commit on an old version that a lagging replica still returns.
	 */
	@Test
	void anOldHeadRowLeadsToAConflict() throws Exception {
		this.store.commit(0, "a");
		List<Row> old = this.table.find(List.of(ConfigurationStore.HEAD_KEY));
		this.store.commit(1, "b");
		ConfigurationStore lagging = over(new Intercepted(this.table, () -> {
		}, old));
		assertThat(lagging.commit(1, "c"), is(conflict(2)));
		assertThat(this.store.body(2), is("b"));
	}

	@Test
	void retainsALimitedNumberOfBodies() throws Exception {
		for (int i = 0; i < 70; i++) {
			assertThat(this.store.commit(i, "v" + (i + 1)), is(equalTo(committed(i + 1))));
		}
		assertThat(this.table.withPrefix("config/body/"), hasSize(64));
		assertThat(this.store.body(7), is("v7"));
		assertThat(this.store.body(6), is(nullValue()));
	}

	/**
	 * Store that runs an action before the first transaction, and can return old rows.
	 */
	private static final class Intercepted implements TableStore {

		private final TableStore target;

		private final List<Row> old;

		private Action before;

		private Intercepted(TableStore target, Action before, List<Row> old) {
			this.target = target;
			this.before = before;
			this.old = old;
		}

		@Override
		public TransactionResult transact(Transaction transaction) throws StoreException {
			Action action = this.before;
			this.before = () -> {
			};
			action.run();
			return this.target.transact(transaction);
		}

		@Override
		public List<Row> read(Collection<String> keys) throws StoreException {
			return this.old.isEmpty() ? this.target.read(keys) : this.old;
		}

		@Override
		public List<Row> scan(String prefix, int limit) throws StoreException {
			return this.target.scan(prefix, limit);
		}

	}

	/**
	 * Action that may use the store.
	 */
	private interface Action {

		void run() throws StoreException;

	}

}
