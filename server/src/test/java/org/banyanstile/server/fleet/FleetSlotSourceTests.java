package org.banyanstile.server.fleet;

import java.util.Collection;
import java.util.Set;

import org.banyanstile.core.common.DataCentreId;
import org.banyanstile.core.common.EndpointId;
import org.banyanstile.core.common.TeamId;
import org.banyanstile.core.common.Ticker;
import org.banyanstile.core.common.VmId;
import org.banyanstile.io.http.HttpClient;
import org.banyanstile.server.caller.EndpointTarget;
import org.banyanstile.server.caller.EngineCanceller;
import org.banyanstile.server.caller.Pool;
import org.banyanstile.server.caller.PoolRole;
import org.banyanstile.server.caller.SlotDecision;
import org.banyanstile.server.caller.SlotDemand;
import org.banyanstile.server.caller.SlotOutcome;
import org.banyanstile.server.caller.SlotSource;
import org.banyanstile.server.endpoint.EngineClient;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;

/**
 * Tests for {@link FleetSlotSource} and {@link PoolOwner} with two connected VMs.
 *
 * @author banyanstile contributors
 */
class FleetSlotSourceTests {

	private static final Pool POOL = new Pool(DataCentreId.of("dc-a"), "orders", PoolRole.SERVICE);

	private final TestFleet fleet = new TestFleet();

	private TestFleet.Node owner;

	private TestFleet.Node other;

	private FleetSlotSource atOwner;

	private FleetSlotSource atOther;

	private PoolReconciler reconciler;

	@BeforeEach
	void start() throws Exception {
		this.owner = this.fleet.add("vm-1");
		this.other = this.fleet.add("vm-2");
		this.fleet.setOwner(POOL.partition(), this.owner);
		TestConfiguration configuration = new TestConfiguration(
				new EndpointTarget(EndpointId.of("s-1"), "127.0.0.1:1", POOL, 2, false, true));
		Ticker ticker = Ticker.system();
		PoolOwner pools = PoolOwner.create(this.owner, Messenger.over(this.owner.peers), configuration, ticker,
				this.owner.handlers);
		PoolOwner otherPools = PoolOwner.create(this.other, Messenger.over(this.other.peers), configuration, ticker,
				this.other.handlers);
		this.atOwner = source(this.owner, configuration, pools);
		this.atOther = source(this.other, configuration, otherPools);
		HttpClient http = HttpClient.create(1);
		EngineClient engine = EngineClient.create(http, () -> "vm-1/1");
		this.reconciler = new PoolReconciler(pools, new NoVmSlots(), this.owner, configuration, engine,
				EngineCanceller.create(engine, 1), ticker);
		this.reconciler.reconcile();
		this.fleet.connect();
		http.close();
	}

	private static FleetSlotSource source(TestFleet.Node node, TestConfiguration configuration, PoolOwner pools) {
		return FleetSlotSource.create(node, Messenger.over(node.peers), configuration, pools, new EmptySlotSource(),
				node.handlers);
	}

	@AfterEach
	void close() {
		this.fleet.close();
	}

	private static SlotDemand demand(String requestId, long waitMillis) {
		return new SlotDemand(POOL, TeamId.of("team-1"), 10, requestId, "f-" + requestId, waitMillis, Set.of());
	}

	/**
	 * Guards against two VMs that together use more slots than an endpoint has.
	 */
	@Test
	void grantsNoMoreSlotsThanTheEndpointHas() {
		assertThat(this.atOwner.acquire(demand("r1", 0)), is(instanceOf(SlotDecision.Granted.class)));
		SlotDecision second = this.atOther.acquire(demand("r2", 0));
		assertThat(second, is(instanceOf(SlotDecision.Granted.class)));
		assertThat(this.atOther.acquire(demand("r3", 100)), is(instanceOf(SlotDecision.Overloaded.class)));
		this.atOther.release((SlotDecision.Granted) second, SlotOutcome.COMPLETED);
		assertThat(this.atOwner.acquire(demand("r4", 2000)), is(instanceOf(SlotDecision.Granted.class)));
	}

	/**
	 * Guards against a request that crashes one endpoint after another while its caller
	 * retries it.
	 */
	@Test
	void refusesARequestThatCrashedAnEndpointAlone() {
		crash("r1");
		crash("r1");
		assertThat(this.atOther.acquire(demand("r1", 100)), is(instanceOf(SlotDecision.Crashing.class)));
		TestFleet.await(() -> this.atOwner.acquire(demand("r1", 0)) instanceof SlotDecision.Crashing);
	}

	private void crash(String requestId) {
		SlotDecision decision = this.atOther.acquire(demand(requestId, 1000));
		assertThat(decision, is(instanceOf(SlotDecision.Granted.class)));
		this.atOther.release((SlotDecision.Granted) decision, SlotOutcome.BROKEN);
	}

	@Test
	void usesTheFallbackWithoutAnOwner() {
		this.fleet.setOwner(POOL.partition(), null);
		assertThat(this.atOther.acquire(demand("r1", 0)),
				is(new SlotDecision.Overloaded(EmptySlotSource.RETRY_MILLIS)));
	}

	/**
	 * Fallback without endpoint slots.
	 *
	 * @author banyanstile contributors
	 */
	private static final class EmptySlotSource implements SlotSource {

		private static final long RETRY_MILLIS = 4711;

		@Override
		public SlotDecision acquire(SlotDemand demand) {
			return new SlotDecision.Overloaded(RETRY_MILLIS);
		}

		@Override
		public void renew(SlotDecision.Granted slot) {
			throw new AssertionError("no slot was granted");
		}

		@Override
		public void release(SlotDecision.Granted slot, SlotOutcome outcome) {
			throw new AssertionError("no slot was granted");
		}

	}

	/**
	 * Fleet without VM slots.
	 *
	 * @author banyanstile contributors
	 */
	private static final class NoVmSlots implements SlotView {

		@Override
		public int slot() {
			return NO_SLOT;
		}

		@Override
		public long epoch() {
			return 0;
		}

		@Override
		public Unheld unheld() {
			return null;
		}

		@Override
		public Collection<VmId> holders() {
			return Set.of();
		}

	}

}
