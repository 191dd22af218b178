package org.banyanstile.core.scheduling;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;

import org.banyanstile.core.catalog.EndpointRole;
import org.banyanstile.core.catalog.RegisteredEndpoint;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.not;
import static org.hamcrest.Matchers.nullValue;

/**
 * Tests for {@link LeastCostScheduler}.
 *
 * @author banyanstile contributors
 */
class LeastCostSchedulerTests {

	private static final long MEMORY = 10_000;

	private final LeastCostScheduler scheduler = LeastCostScheduler.create(0);

	private long now = millis(400);

	@Test
	void waitsForHoldingsAfterItsStart() {
		setEngines("d1");
		add("r", 0, 5000, 900);
		assertThat(this.scheduler.decide(millis(299)), is(empty()));
		assertThat(this.scheduler.decide(millis(300)), contains(instanceOf(EnginePlacement.class)));
	}

	@Test
	void repeatedRequestGetsTheSameEnginesUnlessTheyAreExcluded() {
		setEngines("d1", "d2", "p1", "p2");
		EnginePlacement first = place("r", 4000);
		assertThat(place("r", 4000), is(first));
		assertThat(this.scheduler.counts().placed(), is(1L));
		String prefill = String.valueOf(first.prefillEngine());
		EnginePlacement other = place("r", 4000, prefill);
		assertThat(other.engine(), is(first.engine()));
		assertThat(other.prefillEngine(), not(prefill));
		assertThat(place("r", 4000, first.engine()).engine(), not(first.engine()));
	}

	@Test
	void freedMemoryGoesToTheMoreUrgentRequest() {
		setEngines("d1");
		place("full", 10_000);
		add("low", 2, 9000, 900);
		add("high", 0, 9000, 900);
		end("full");
		assertThat(placements(), contains("high"));
	}

	@Test
	void requestThatCanBeOnTimeGoesBeforeALateOne() {
		setEngines("d1");
		place("full", 10_000);
		add("late", 1, 9000, -1);
		add("fresh", 1, 9000, 900);
		end("full");
		assertThat(placements(), contains("fresh"));
	}

	@Test
	void smallRequestsDoNotTakeTheRoomOfALargeOne() {
		setEngines("d1");
		place("a", 4500);
		place("b", 4500);
		add("large", 1, 9000, 9000);
		assertThat(placements(), is(empty()));
		this.now += millis(1000);
		add("small", 1, 1000, 9000);
		assertThat(placements(), contains("small"));
		end("a");
		add("medium", 1, 4000, 9000);
		assertThat(placements(), is(empty()));
		assertThat(this.scheduler.counts().earmarks(), is(1));
		end("b");
		end("small");
		assertThat(placements(), contains("large"));
	}

	@Test
	void requestIsRefusedOnArrivalIfItsWaitIsTooLong() {
		setEngines("d1");
		this.scheduler.add(new GenerationRequest("long", "vm", "dc", 0, 1000, 10_000, 900, 90_000, 300, Set.of()),
				this.now);
		placements();
		add("a", 0, 9000, 900);
		SchedulingRefusal refusal = (SchedulingRefusal) this.scheduler.decide(this.now).get(0);
		assertThat(refusal.retryAfterMillis(), greaterThan(2000L));
		assertThat(refusal.retryAfterMillis(), lessThanOrEqualTo(14_000 / 3L));
		add("a", 0, 9000, 900);
		assertThat(this.scheduler.decide(this.now), contains(refusal));
		assertThat(this.scheduler.counts().refusedLate(), is(1L));
	}

	@Test
	void requestThatNoEngineCanHoldIsRefused() {
		setEngines("d1");
		add("r", 0, 10_001, 900);
		assertThat(this.scheduler.decide(this.now), contains(instanceOf(SchedulingRefusal.class)));
		assertThat(this.scheduler.counts().refusedTooLarge(), is(1L));
	}

	@Test
	void requestWaitsWhileNoEngineIsKnown() {
		add("r", 0, 5000, 900);
		assertThat(this.scheduler.decide(this.now), is(empty()));
		setEngines("d1");
		assertThat(placements(), contains("r"));
	}

	@Test
	void engineThatRefusedIsFullForAMoment() {
		setEngines("d1");
		EnginePlacement placement = place("r", 5000);
		this.scheduler.refusedByEngine("r", placement.engine(), this.now);
		add("next", 0, 1000, 900);
		assertThat(placements(), is(empty()));
		assertThat(this.scheduler.expectedWaitMillis("next", this.now), is(200L));
		this.now += millis(200);
		assertThat(placements(), contains("next"));
	}

	@Test
	void holdingsRepairTheLedger() {
		setEngines("d1");
		Holding holding = new Holding("r", "d1", null, 8500, 9000, 100);
		this.scheduler.setHoldings("vm", List.of(holding), this.now);
		add("next", 0, 5000, 3000);
		assertThat(placements(), is(empty()));
		this.now += millis(600);
		this.scheduler.setHoldings("vm", List.of(), this.now);
		assertThat(placements(), contains("next"));
	}

	@Test
	void lateHoldingsDoNotBringAnEndedRequestBack() {
		setEngines("d1");
		place("r", 9000);
		end("r");
		this.scheduler.setHoldings("vm", List.of(new Holding("r", "d1", null, 3000, 9000, 0)), this.now);
		assertThat(place("next", 9000).engine(), is("d1"));
	}

	@Test
	void unconfirmedPlacementEnds() {
		setEngines("d1");
		place("r", 9000);
		this.now += millis(3001);
		assertThat(place("next", 9000).engine(), is("d1"));
	}

	@Test
	void promptGoesToTheEngineThatEndsFirst() {
		setEngines("d1", "d2", "d3", "p1", "p2");
		for (int i = 0; i < 20; i++) {
			String engine = String.valueOf(place("r" + i, 4000).prefillEngine());
			long prefillMillis = engine.equals("p1") ? 200 : 80;
			this.now += millis(prefillMillis);
			this.scheduler.prefilled("r" + i, engine, 3000, prefillMillis, this.now);
			end("r" + i);
		}
		assertThat(this.scheduler.enginesBySpeed().get(0), is("p2"));
		assertThat(place("first", 4000).prefillEngine(), is("p2"));
	}

	@Test
	void engineWithAnOverduePrefillIsAvoided() {
		PrefillQueues queues = new PrefillQueues();
		queues.begin("p", "r", 3000, 0);
		assertThat((int) queues.backlogMillis("p", millis(15)), is(100));
		assertThat((int) queues.backlogMillis("p", millis(615)), is(500));
	}

	@Test
	void requestWaitsWhileThePrefillEnginesAreBusy() {
		setEngines("d1", "d2", "d3", "p1");
		place("a", 6000);
		add("b", 0, 6000, 2000);
		assertThat(placements(), is(empty()));
		assertThat(this.scheduler.expectedWaitMillis("b", this.now), greaterThan(0L));
		this.now += millis(150);
		assertThat(placements(), contains("b"));
		assertThat(this.scheduler.counts().waited(), is(1L));
	}

	/**
	 * Guards against prompts that queue at few prefill engines until they are late.
	 */
	@Test
	void promptThatWouldWaitTooLongIsPrefilledByItsDecodeEngine() {
		setEngines("d1", "d2", "d3", "p1");
		assertThat(place("a", 9000).prefillEngine(), is("p1"));
		assertThat(place("b", 9000).prefillEngine(), is(nullValue()));
	}

	/**
	 * Guards against placements at a crashed engine, which looks as if it had the most
	 * room.
	 */
	@Test
	void pauseOfAnEngineThatRefusesAgainDoubles() {
		setEngines("d1");
		assertThat(place("a", 1000).engine(), is("d1"));
		this.scheduler.refusedByEngine("a", "d1", this.now);
		this.now += EngineMemory.FULL_NANOS;
		assertThat(place("b", 1000).engine(), is("d1"));
		this.scheduler.refusedByEngine("b", "d1", this.now);
		add("c", 0, 1000, 900);
		this.now += EngineMemory.FULL_NANOS;
		assertThat(placements(), is(empty()));
		this.now += EngineMemory.FULL_NANOS;
		assertThat(placements(), contains("c"));
	}

	private void setEngines(String... ids) {
		List<RegisteredEndpoint> engines = new ArrayList<>();
		for (String id : ids) {
			EndpointRole role = id.startsWith("d") ? EndpointRole.DECODE : EndpointRole.PREFILL;
			engines.add(new RegisteredEndpoint(id, "llm", "10.0.0.1:80", "dc", role, true, 48, 0, 0, ""));
		}
		this.scheduler.setEngines(engines, MEMORY, this.now);
	}

	private void add(String id, int priority, long tokens, long onTimeMillis, String... excluded) {
		this.scheduler.add(new GenerationRequest(id, "vm", "dc", priority, tokens * 3 / 4, tokens, onTimeMillis,
				Math.max(14_000, 3 * onTimeMillis), 300, Set.of(excluded)), this.now);
	}

	private EnginePlacement place(String id, long tokens, String... excluded) {
		add(id, 0, tokens, 900, excluded);
		return (EnginePlacement) this.scheduler.decide(this.now).get(0);
	}

	private void end(String id) {
		this.scheduler.ended(id, 0, this.now);
	}

	private List<String> placements() {
		return this.scheduler.decide(this.now)
			.stream()
			.filter(EnginePlacement.class::isInstance)
			.map(SchedulingDecision::requestId)
			.toList();
	}

	private static long millis(long millis) {
		return millis * 1_000_000;
	}

}
