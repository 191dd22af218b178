package org.banyanstile.core.claim;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

import org.banyanstile.core.common.TeamId;
import org.banyanstile.core.common.VmId;
import org.banyanstile.core.lease.OperationIds;
import org.banyanstile.core.store.MemoryTableStore;
import org.banyanstile.core.store.MemoryTableStore.Fault;
import org.banyanstile.core.store.Row;
import org.banyanstile.core.store.StoreException;
import org.banyanstile.core.store.TableStore;
import org.banyanstile.core.store.TextRowCodec;
import org.banyanstile.core.store.Transaction;
import org.banyanstile.core.store.TransactionResult;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.not;
import static org.hamcrest.Matchers.nullValue;
import static org.junit.jupiter.api.Assertions.assertThrows;

/**
 * Tests for {@link OnceOnlyClaims}. Guards against a call that runs twice and against a
 * response that is not that of the run.
 *
 * @author banyanstile contributors
 */
class OnceOnlyClaimsTests {

	private static final ClaimIdentity IDENTITY = new ClaimIdentity(TeamId.of("team"), "k1");

	private static final ClaimOutcome RESPONSE = new ClaimOutcome.Answered(201, "text/plain", "ordered");

	private static final ClaimOutcome UNKNOWN = new ClaimOutcome.OutcomeUnknown();

	private static final ClaimOutcome NOT_RUN = new ClaimOutcome.NotRun();

	private final MemoryTableStore store = new MemoryTableStore();

	private final Set<ClaimHolder> ended = new HashSet<>();

	private long processes;

	private TableStore view = this.store;

	private final Vm first = new Vm("vm-1", 1);

	private final Vm second = new Vm("vm-2", 1);

	private static ClaimResult settled(ClaimOutcome outcome) {
		return new ClaimResult.Settled(outcome);
	}

	@Test
	void answerIsRepeatedOnAnyVmAndAnotherBodyIsRefused() {
		this.first.claims.complete(this.first.granted("b"), RESPONSE);
		assertThat(this.first.claim("b"), equalTo(settled(RESPONSE)));
		assertThat(this.second.claim("b"), equalTo(settled(RESPONSE)));
		assertThat(this.second.claim("other"), instanceOf(ClaimResult.KeyReused.class));
		assertThat(this.first.claim("other"), instanceOf(ClaimResult.KeyReused.class));
	}

	@Test
	void repeatedRequestIsRunningUntilTheEpochOfTheFirstVmEndsAndThenUnknown() {
		HeldClaim claim = this.first.granted("b");
		assertThat(this.first.claim("b"), equalTo(new ClaimResult.Running(this.first.holder)));
		assertThat(this.first.claim("other"), instanceOf(ClaimResult.KeyReused.class));
		assertThat(this.second.claim("b"), equalTo(new ClaimResult.Running(this.first.holder)));
		assertThat(this.first.claims.query(IDENTITY, this.first.holder), nullValue());
		this.ended.add(this.first.holder);
		assertThat(this.second.claim("b"), equalTo(settled(UNKNOWN)));
		this.first.claims.complete(claim, RESPONSE);
		assertThat("a late completion by the first VM does not change the reported outcome", this.second.claim("b"),
				equalTo(settled(UNKNOWN)));
		assertThat(this.first.claims.writeRetained(), is(0));
	}

	@Test
	void claimWithLostReplyIsReadBackAndGranted() {
		this.store.failNext(Fault.LOST_REPLY);
		this.first.granted("b");
		assertThat(this.second.claim("b"), equalTo(new ClaimResult.Running(this.first.holder)));
	}

	@Test
	void lateClaimIsVoidedBeforeNotRunIsAnswered() {
		this.store.failNext(Fault.DELAYED);
		assertThat(this.first.claim("b"), equalTo(settled(NOT_RUN)));
		this.store.applyDelayed();
		this.second.granted("b");
	}

	@Test
	void claimThatCannotBeConfirmedIsUnknownAndLaterFoundNotToRun() {
		this.store.failNext(Fault.LOST_REPLY, Fault.UNAVAILABLE);
		assertThat(this.first.claim("b"), equalTo(settled(UNKNOWN)));
		assertThat(this.second.claim("b"), equalTo(new ClaimResult.Running(this.first.holder)));
		assertThat(this.first.claims.query(IDENTITY, this.first.holder), equalTo(NOT_RUN));
		this.second.granted("b");
	}

	@Test
	void storeDownAtTheClaimSaysNothingOfEarlierAttempts() {
		this.store.failNext(Fault.UNAVAILABLE);
		assertThat(this.first.claim("b"), equalTo(new ClaimResult.Unclaimed()));
		assertThat(this.store.withPrefix("claim/").size(), is(0));
		HeldClaim claim = this.second.granted("b");
		this.second.claims.complete(claim, RESPONSE);
		this.store.failNext(Fault.UNAVAILABLE);
		assertThat("a repeated request after a response", this.first.claim("b"), equalTo(new ClaimResult.Unclaimed()));
	}

	@Test
	void rejectionWithoutAClaimShowsWhetherAnEarlierAttemptMayHaveRun() {
		assertThat(this.first.claims.mayHaveRun(IDENTITY), is(false));
		HeldClaim claim = this.second.granted("b");
		assertThat("running", this.first.claims.mayHaveRun(IDENTITY), is(true));
		this.second.claims.complete(claim, NOT_RUN);
		assertThat("void", this.first.claims.mayHaveRun(IDENTITY), is(false));
		this.store.failNext(Fault.UNAVAILABLE);
		assertThat("store down", this.first.claims.mayHaveRun(IDENTITY), is(true));
	}

	@ParameterizedTest
	@EnumSource(names = { "UNAVAILABLE", "LOST_REPLY", "DELAYED" })
	void outcomeIsRetainedWhileTheStoreIsDown(Fault fault) {
		HeldClaim claim = this.first.granted("b");
		this.store.failNext(fault, Fault.UNAVAILABLE);
		this.first.claims.complete(claim, RESPONSE);
		assertThat(this.first.claims.writeRetained(), is(1));
		assertThat(this.first.claims.query(IDENTITY, this.first.holder), equalTo(RESPONSE));
		assertThat(this.first.claim("b"), equalTo(settled(RESPONSE)));
		assertThat(this.first.claims.writeRetained(), is(0));
		this.store.applyDelayed();
		assertThat(this.second.claim("b"), equalTo(settled(RESPONSE)));
	}

	@ParameterizedTest
	@ValueSource(booleans = { false, true })
	void readOfAnEarlierStateDoesNotDropARetainedOutcome(boolean rowKnown) {
		this.second.claims.complete(this.second.granted("b"), NOT_RUN);
		List<Row> earlier = rowKnown ? this.store.find(List.of(IDENTITY.rowKey())) : List.of();
		StaleStore stale = new StaleStore(this.store);
		this.view = stale;
		Vm vm = new Vm("vm-6", 1);
		HeldClaim claim = vm.granted("b");
		this.store.failNext(Fault.UNAVAILABLE);
		vm.claims.complete(claim, RESPONSE);
		stale.reply = earlier;
		vm.claims.writeRetained();
		stale.reply = null;
		assertThat("a repeated request", vm.claim("b"), equalTo(settled(RESPONSE)));
		assertThat(vm.claims.writeRetained(), is(0));
		assertThat(this.second.claim("b"), equalTo(settled(RESPONSE)));
	}

	@Test
	void readThatLacksTheRowDoesNotProveToAnotherVmThatTheCallDidNotRun() {
		StaleStore stale = new StaleStore(this.store);
		this.view = stale;
		Vm vm = new Vm("vm-6", 1);
		vm.claims.complete(vm.granted("b"), RESPONSE);
		stale.reply = List.of();
		assertThat(vm.claims.query(IDENTITY, vm.holder), nullValue());
		stale.reply = null;
		assertThat(vm.claims.query(IDENTITY, vm.holder), equalTo(RESPONSE));
	}

	@Test
	void refusedConnectionVoidsTheClaimAndTheKeyCanBeUsedAgain() {
		this.first.claims.complete(this.first.granted("b"), NOT_RUN);
		HeldClaim again = this.second.granted("b");
		assertThat(again.record().attempt(), equalTo(2L));
	}

	@Test
	void killAtEveryStoreCallLeavesAtMostOneRun() {
		for (int calls = 0; calls < 4; calls++) {
			for (boolean afterEffect : new boolean[] { false, true }) {
				ClaimIdentity identity = new ClaimIdentity(TeamId.of("team"), "kill-" + calls + afterEffect);
				KillingStore killing = new KillingStore(this.store, calls, afterEffect);
				this.view = killing;
				Vm victim = new Vm("vm-9", 10 * calls + (afterEffect ? 1 : 0));
				this.view = this.store;
				int runs = 0;
				try {
					if (victim.claims.claim(identity, "b", victim.holder) instanceof ClaimResult.Granted granted) {
						runs++;
						victim.claims.complete(granted.claim(), RESPONSE);
					}
				}
				catch (IllegalStateException ex) {
					assertThat(killing.calls, lessThanOrEqualTo(0));
				}
				this.ended.add(victim.holder);
				ClaimResult repeat = this.second.claims.claim(identity, "b", this.second.holder);
				if (repeat instanceof ClaimResult.Granted) {
					assertThat("granted again although the call ran", runs, is(0));
				}
				else {
					assertThat(repeat, not(equalTo(settled(NOT_RUN))));
				}
			}
		}
	}

	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4, 5, 6, 7, 8 })
	void randomFaultsNeverRunACallTwice(long seed) {
		System.out.println("seed " + seed);
		randomCalls(seed);
	}

	@Test
	void randomFaultsRunACallTwiceWithoutConditions() {
		this.view = new UnconditionalStore(this.store);
		assertThrows(AssertionError.class, () -> randomCalls(1));
	}

	private void randomCalls(long seed) {
		Random random = new Random(seed);
		List<Vm> vms = new ArrayList<>(List.of(new Vm("vm-3", 1), new Vm("vm-4", 1), new Vm("vm-5", 1)));
		Map<String, ClaimOutcome> ran = new HashMap<>();
		for (int i = 0; i < 4000; i++) {
			int n = random.nextInt(vms.size());
			Vm vm = vms.get(n);
			ClaimIdentity identity = new ClaimIdentity(TeamId.of("team"), "k" + random.nextInt(1 + i / 8));
			for (int k = random.nextInt(4); k > 0; k--) {
				this.store.failNext(Fault.values()[random.nextInt(Fault.values().length)]);
			}
			switch (random.nextInt(10)) {
				case 0 -> {
					this.ended.add(vm.holder);
					vms.set(n, new Vm(vm.holder.vm().name(), vm.holder.epoch() + 1));
				}
				case 1 -> this.store.applyDelayed();
				case 2 -> vm.claims.writeRetained();
				case 3 -> vm.claims.query(identity, vm.holder);
				case 4 -> vm.finish();
				default -> call(vm, identity, random, ran);
			}
		}
	}

	private void call(Vm vm, ClaimIdentity identity, Random random, Map<String, ClaimOutcome> ran) {
		ClaimResult result = vm.claims.claim(identity, "b", vm.holder);
		String key = identity.keyHash();
		if (result instanceof ClaimResult.Granted granted) {
			if (random.nextInt(5) == 0) {
				vm.claims.complete(granted.claim(), NOT_RUN);
				return;
			}
			ClaimOutcome response = new ClaimOutcome.Answered(200, null, key + " by " + vm.holder);
			ClaimOutcome other = ran.put(key, response);
			if (other != null) {
				throw new AssertionError(key + " ran twice: " + other + " and " + response);
			}
			vm.unfinished.put(granted.claim(), response);
		}
		else if (result instanceof ClaimResult.Settled settled
				&& settled.outcome() instanceof ClaimOutcome.Answered answered) {
			assertThat("response of the run", answered, equalTo(ran.get(key)));
		}
	}

	/**
	 * One process of a VM.
	 *
	 * @author banyanstile contributors
	 */
	private final class Vm {

		final ClaimHolder holder;

		final OnceOnlyClaims claims;

		final Map<HeldClaim, ClaimOutcome> unfinished = new HashMap<>();

		Vm(String name, long epoch) {
			this.holder = new ClaimHolder(VmId.of(name), name.charAt(3) - '0', epoch);
			this.claims = OnceOnlyClaims.create(OnceOnlyClaimsTests.this.view, new TextRowCodec(),
					OnceOnlyClaimsTests.this.ended::contains,
					OperationIds.create(this.holder.vm(), new Random(OnceOnlyClaimsTests.this.processes++)));
		}

		ClaimResult claim(String body) {
			return this.claims.claim(IDENTITY, body, this.holder);
		}

		HeldClaim granted(String body) {
			ClaimResult result = claim(body);
			assertThat(result, instanceOf(ClaimResult.Granted.class));
			return ((ClaimResult.Granted) result).claim();
		}

		void finish() {
			this.unfinished.forEach(this.claims::complete);
			this.unfinished.clear();
		}

	}

	/**
	 * Store of a process that is killed at one of its store calls.
	 *
	 * @author banyanstile contributors
	 */
	private static final class KillingStore implements TableStore {

		private final MemoryTableStore store;

		private final boolean afterEffect;

		private int calls;

		KillingStore(MemoryTableStore store, int calls, boolean afterEffect) {
			this.store = store;
			this.calls = calls;
			this.afterEffect = afterEffect;
		}

		@Override
		public TransactionResult transact(Transaction transaction) {
			boolean killed = this.calls-- <= 0;
			if (!killed || this.afterEffect) {
				TransactionResult result = this.store.apply(transaction);
				if (!killed) {
					return result;
				}
			}
			throw new IllegalStateException("killed");
		}

		@Override
		public List<Row> read(Collection<String> keys) {
			return this.store.find(keys);
		}

		@Override
		public List<Row> scan(String prefix, int limit) {
			return this.store.withPrefix(prefix);
		}

	}

	/**
	 * Store access whose reads return an earlier reply while one is set.
	 *
	 * @author banyanstile contributors
	 */
	private static final class StaleStore implements TableStore {

		private final TableStore store;

		private List<Row> reply;

		StaleStore(TableStore store) {
			this.store = store;
		}

		@Override
		public TransactionResult transact(Transaction transaction) throws StoreException {
			return this.store.transact(transaction);
		}

		@Override
		public List<Row> read(Collection<String> keys) throws StoreException {
			return (this.reply != null) ? this.reply : this.store.read(keys);
		}

		@Override
		public List<Row> scan(String prefix, int limit) throws StoreException {
			return this.store.scan(prefix, limit);
		}

	}

	/**
	 * Store access that drops the conditions of transactions.
	 *
	 * @param store the store
	 * @author banyanstile contributors
	 */
	private record UnconditionalStore(TableStore store) implements TableStore {

		@Override
		public TransactionResult transact(Transaction transaction) throws StoreException {
			return this.store.transact(new Transaction(transaction.operationId(), List.of(), transaction.writes()));
		}

		@Override
		public List<Row> read(Collection<String> keys) throws StoreException {
			return this.store.read(keys);
		}

		@Override
		public List<Row> scan(String prefix, int limit) throws StoreException {
			return this.store.scan(prefix, limit);
		}

	}

}
