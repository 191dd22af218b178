package org.banyanstile.server.fleet;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.banyanstile.core.claim.ClaimHolder;
import org.banyanstile.core.claim.OnceOnlyClaims;
import org.banyanstile.core.common.TeamId;
import org.banyanstile.core.lease.OperationIds;
import org.banyanstile.core.store.Condition;
import org.banyanstile.core.store.Row;
import org.banyanstile.core.store.StoreException;
import org.banyanstile.core.store.StoreUnavailableException;
import org.banyanstile.core.store.TableStore;
import org.banyanstile.core.store.Transaction;
import org.banyanstile.core.store.TransactionResult;
import org.banyanstile.core.store.Write;
import org.banyanstile.server.caller.CallOutcome;
import org.banyanstile.server.caller.ClaimDecision;
import org.banyanstile.server.caller.ClaimKey;
import org.banyanstile.server.caller.StoredAnswer;
import org.banyanstile.server.platform.JsonRowCodec;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;

/**
 * Tests for {@link FleetClaimService} with two connected VMs and one table.
 *
 * @author banyanstile contributors
 */
class FleetClaimServiceTests {

	private static final ClaimKey KEY = new ClaimKey(TeamId.of("team-1"), "aa", "body");

	private static final StoredAnswer ANSWER = new StoredAnswer(201, "application/json", "{}");

	private final TestFleet fleet = new TestFleet();

	private final InMemoryTable table = new InMemoryTable();

	private FleetClaimService first;

	private FleetClaimService second;

	@BeforeEach
	void start() throws Exception {
		this.first = service(this.fleet.add("vm-1"), 0);
		this.second = service(this.fleet.add("vm-2"), 1);
		this.fleet.connect();
	}

	private FleetClaimService service(TestFleet.Node node, int slot) {
		OnceOnlyClaims claims = OnceOnlyClaims.create(this.table, new JsonRowCodec(), (holder) -> false,
				OperationIds.create(node.vm, new Random(1)));
		return FleetClaimService.create(claims, () -> new ClaimHolder(node.vm, slot, 1), () -> true,
				Messenger.over(node.peers), node.handlers);
	}

	@AfterEach
	void close() {
		this.fleet.close();
	}

	/**
	 * Guards against a call that runs on two VMs.
	 */
	@Test
	void repeatedRequestAtAnotherVmGetsTheSameResponse() {
		ClaimDecision run = this.first.claim(KEY);
		assertThat(run, is(instanceOf(ClaimDecision.Run.class)));
		this.first.complete((ClaimDecision.Run) run, new CallOutcome.Answered(ANSWER));
		assertThat(this.second.claim(KEY), is(new ClaimDecision.Decided(new CallOutcome.Answered(ANSWER))));
		assertThat(this.second.claim(new ClaimKey(KEY.team(), KEY.keyHash(), "other")),
				is(new ClaimDecision.KeyReused()));
	}

	/**
	 * Guards against a repeated request that runs while the first call is still running.
	 */
	@Test
	void repeatedRequestWaitsForTheRunningCall() throws Exception {
		ClaimDecision.Run run = (ClaimDecision.Run) this.first.claim(KEY);
		CompletableFuture<ClaimDecision> repeated = CompletableFuture.supplyAsync(() -> this.second.claim(KEY));
		TestFleet.await(() -> this.table.reads > 0);
		this.table.available = false;
		this.first.complete(run, new CallOutcome.Answered(ANSWER));
		this.table.available = true;
		assertThat(repeated.get(5, TimeUnit.SECONDS), is(new ClaimDecision.Decided(new CallOutcome.Answered(ANSWER))));
	}

	/**
	 * Guards against a refusal which states that nothing ran although the claim may be
	 * stored, and against a claim granted without the store.
	 */
	@Test
	void refusesWithoutTheStore() {
		this.table.available = false;
		assertThat(this.first.claim(KEY), is(instanceOf(ClaimDecision.Unavailable.class)));
		assertThat(this.first.mayHaveRun(KEY), is(true));
		this.table.available = true;
		assertThat(this.second.claim(KEY), is(instanceOf(ClaimDecision.Run.class)));
	}

	/**
	 * In-memory table service.
	 *
	 * @author banyanstile contributors
	 */
	private static final class InMemoryTable implements TableStore {

		private final Map<String, Row> rows = new HashMap<>();

		private long version;

		private volatile int reads;

		private volatile boolean available = true;

		@Override
		public synchronized TransactionResult transact(Transaction transaction) throws StoreException {
			requireAvailable();
			for (Condition condition : transaction.conditions()) {
				Row row = this.rows.get(condition.key());
				if (((row != null) ? row.version() : 0) != condition.version()) {
					this.reads++;
					return new TransactionResult.Conflict((row != null) ? List.of(row) : List.of());
				}
			}
			Map<String, Long> versions = new HashMap<>();
			for (Write write : transaction.writes()) {
				versions.put(write.key(), ++this.version);
				this.rows.put(write.key(), new Row(write.key(), this.version, write.value()));
			}
			return new TransactionResult.Committed(versions);
		}

		@Override
		public synchronized List<Row> read(Collection<String> keys) throws StoreException {
			requireAvailable();
			this.reads++;
			return keys.stream().map(this.rows::get).filter(Objects::nonNull).toList();
		}

		@Override
		public List<Row> scan(String prefix, int limit) {
			throw new AssertionError("claims are never scanned");
		}

		private void requireAvailable() throws StoreException {
			if (!this.available) {
				throw new StoreUnavailableException("table service unavailable", null);
			}
		}

	}

}
