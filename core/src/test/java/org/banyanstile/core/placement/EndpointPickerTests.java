package org.banyanstile.core.placement;

import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

import org.banyanstile.core.catalog.EndpointRole;
import org.banyanstile.core.catalog.RegisteredEndpoint;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.nullValue;

/**
 * Tests for {@link EndpointPicker}.
 *
 * @author banyanstile contributors
 */
class EndpointPickerTests {

	private final EndpointLoads loads = new EndpointLoads();

	private final EndpointHealth health = new EndpointHealth();

	private final EndpointPicker picker = EndpointPicker.create(this.loads, this.health, new Random(1));

	private final RegisteredEndpoint one = endpoint("one");

	private final RegisteredEndpoint two = endpoint("two");

	private static RegisteredEndpoint endpoint(String id) {
		return endpoint(id, "dc1");
	}

	private static RegisteredEndpoint endpoint(String id, String dataCentre) {
		return new RegisteredEndpoint(id, "desk", "10.0.0.1:80", dataCentre, EndpointRole.PLAIN, true, 6, 0, 0, "");
	}

	private int chosen(RegisteredEndpoint wanted) {
		int count = 0;
		for (int i = 0; i < 100; i++) {
			count += (this.picker.fastest(List.of(this.one, this.two), Set.of(), 0) == wanted) ? 1 : 0;
		}
		return count;
	}

	@Test
	void unreachableEndpointGetsNothingWhileAnotherIsAvailable() {
		this.health.unreachable("one", 0);
		assertThat(chosen(this.one), is(0));
	}

	@Test
	void unreachableEndpointIsTriedAgainAfterItsPause() {
		this.health.unreachable("one", 0);
		assertThat(this.health.isUsable("one", EndpointHealth.FIRST_PAUSE_NANOS), is(true));
	}

	@Test
	void fullEndpointIsLeftToOtherVmsForLongerAfterEachRefusal() {
		long first = EndpointHealth.FIRST_FULL_PAUSE_NANOS;
		this.health.full("one", 0);
		this.health.answered("one", 50, false, first / 2);
		assertThat(chosen(this.one), is(0));
		assertThat(this.health.isUsable("one", first), is(true));
		this.health.full("one", first);
		assertThat(this.health.isUsable("one", 3 * first - 1), is(false));
		this.health.answered("one", 50, false, 3 * first);
		this.health.full("one", 3 * first);
		assertThat(this.health.isUsable("one", 4 * first), is(true));
	}

	@Test
	void oneOfSeveralFullEndpointsIsStillChosen() {
		this.health.full("one", 0);
		this.health.full("two", 0);
		assertThat(chosen(this.one) + chosen(this.two) > 0, is(true));
	}

	@Test
	void endpointThatFailsOftenGetsLess() {
		for (int i = 0; i < 10; i++) {
			this.health.answered("one", 50, true, 0);
			this.health.answered("two", 50, false, 0);
		}
		assertThat(chosen(this.one), is(lessThan(10)));
	}

	@Test
	void slowEndpointGetsLess() {
		for (int i = 0; i < 10; i++) {
			this.health.answered("one", 400, false, 0);
			this.health.answered("two", 80, false, 0);
		}
		assertThat(chosen(this.one), is(0));
	}

	@Test
	void endpointThatOtherVmsHaveFilledGetsLess() {
		this.loads.report("vm2", List.of(new EndpointLoads.Load("one", 20, 0)), 0);
		assertThat(chosen(this.one), is(0));
	}

	@Test
	void triedEndpointComesLast() {
		assertThat(this.picker.fastest(List.of(this.one, this.two), Set.of("one"), 0), is(this.two));
	}

	@Test
	void decodeEngineWithMostFreeMemoryComesFirst() {
		this.loads.report("vm2", List.of(new EndpointLoads.Load("one", 5, 20_000)), 0);
		assertThat(this.picker.mostFreeMemory(List.of(this.one, this.two), 34_000, 4000, 0).get(0), is(this.two));
	}

	private List<RegisteredEndpoint> decodeEngines(long now) {
		return this.picker.mostFreeMemory(List.of(this.one, this.two), 34_000, 4000, now);
	}

	// Guards against streams that wait for seconds and are refused since all engines of
	// their version are paused.
	@Test
	void decodeEnginesThatAreAllPausedAreTriedAgainAfterTheFirstPause() {
		for (int i = 0; i < 5; i++) {
			this.health.unreachable("one", 0);
			this.health.unreachable("two", 0);
		}
		assertThat(decodeEngines(EndpointHealth.FIRST_PAUSE_NANOS - 1), is(empty()));
		assertThat(decodeEngines(EndpointHealth.FIRST_PAUSE_NANOS), hasSize(2));
		this.health.replaced("one", EndpointHealth.FIRST_PAUSE_NANOS);
		assertThat(decodeEngines(EndpointHealth.FIRST_PAUSE_NANOS), contains(this.two));
		this.health.answered("two", 50, false, EndpointHealth.FIRST_PAUSE_NANOS);
		this.health.unreachable("one", EndpointHealth.FIRST_PAUSE_NANOS);
		assertThat(decodeEngines(2 * EndpointHealth.FIRST_PAUSE_NANOS), contains(this.two));
	}

	@Test
	void prefillEngineThatWasTriedIsLeftOut() {
		assertThat(this.picker.leastTokens(List.of(this.one), Set.of("one"), "dc1", 0), is(nullValue()));
	}

	private int chosenForPrefill(RegisteredEndpoint wanted, List<RegisteredEndpoint> engines, Set<String> tried) {
		EngineSpeeds.Table speeds = new EngineSpeeds.Table(Map.of("one", 20.0, "two", 60.0, "far", 60.0), 40);
		int count = 0;
		for (int i = 0; i < 100; i++) {
			count += (this.picker.earliestEnd(engines, tried, "dc1", 4000, speeds, 0) == wanted) ? 1 : 0;
		}
		return count;
	}

	@Test
	void fastPrefillEngineWithAQueueCompletesBeforeASlowOneWithout() {
		this.loads.report("vm2", List.of(new EndpointLoads.Load("two", 1, 4000)), 0);
		List<RegisteredEndpoint> engines = List.of(this.one, this.two);
		assertThat(chosenForPrefill(this.two, engines, Set.of()), is(100));
		assertThat(chosenForPrefill(this.one, engines, Set.of("two")), is(100));
		this.loads.report("vm2", List.of(new EndpointLoads.Load("two", 3, 12_000)), 0);
		assertThat(chosenForPrefill(this.one, engines, Set.of()), is(100));
	}

	@Test
	void prefillEngineOfTheSameDataCentreCompletesFirstIfSpeedsAreEqual() {
		RegisteredEndpoint remote = endpoint("far", "dc2");
		assertThat(chosenForPrefill(this.two, List.of(remote, this.two), Set.of()), is(100));
	}

	@Test
	void prefillEngineInTheDataCentreOfTheDecodeEngineIsPreferred() {
		RegisteredEndpoint remote = endpoint("far", "dc2");
		for (int i = 0; i < 100; i++) {
			assertThat(this.picker.leastTokens(List.of(remote, this.one), Set.of(), "dc1", 0), is(this.one));
		}
	}

	@Test
	void prefillEngineInAnotherDataCentreIsChosenWhenTheLocalOneHasAQueue() {
		RegisteredEndpoint remote = endpoint("far", "dc2");
		this.loads.report("vm2", List.of(new EndpointLoads.Load("one", 1, 4000)), 0);
		for (int i = 0; i < 100; i++) {
			assertThat(this.picker.leastTokens(List.of(remote, this.one), Set.of(), "dc1", 0), is(remote));
		}
	}

}
