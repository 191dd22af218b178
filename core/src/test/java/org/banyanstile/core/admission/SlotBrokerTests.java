package org.banyanstile.core.admission;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.banyanstile.core.common.EndpointId;
import org.banyanstile.core.common.TeamId;
import org.banyanstile.core.common.VmId;
import org.banyanstile.core.routing.Candidate;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.instanceOf;

/**
 * Tests for {@link SlotBroker}.
 *
 * @author banyanstile contributors
 */
class SlotBrokerTests {

	private static final long MILLI = 1_000_000L;

	private static final VmId VM = VmId.of("vm-1");

	private static final EndpointId A = EndpointId.of("a");

	private static final EndpointId B = EndpointId.of("b");

	private final SlotBroker broker = SlotBroker.takeOver();

	private void endpoints(int capacity, EndpointId... endpoints) {
		List<Candidate> candidates = new ArrayList<>();
		for (EndpointId endpoint : endpoints) {
			candidates.add(new Candidate(endpoint, capacity));
		}
		this.broker.configure(candidates, 0);
		for (EndpointId endpoint : endpoints) {
			this.broker.observed(endpoint, List.of(), 0, 0);
		}
	}

	private static SlotRequest slot(String id, String team, long cost) {
		return new SlotRequest(id, VM, TeamId.of(team), 1, cost, 300 * MILLI, false, null, Set.of());
	}

	private List<SlotDecision> requestSlot(String id, long nowMillis) {
		return this.broker.request(slot(id, "team", 100), nowMillis * MILLI);
	}

	private static SlotDecision granted(String id, EndpointId endpoint) {
		return new SlotDecision.Granted(id, endpoint, SlotBroker.SLOT_NANOS);
	}

	@Test
	void waitingRequestGetsTheSlotThatIsReleased() {
		endpoints(1, A);
		assertThat(requestSlot("1", 0), contains(granted("1", A)));
		assertThat(requestSlot("2", 0), empty());
		assertThat(this.broker.release("1", SlotOutcome.COMPLETED, MILLI), contains(granted("2", A)));
	}

	/**
	 * Guards against a refusal after work was done, and against a response that cannot
	 * meet the first-token target.
	 */
	@Test
	void requestThatWaitedTooLongIsRefusedAndHoldsNothing() {
		endpoints(1, A);
		requestSlot("1", 0);
		requestSlot("2", 0);
		assertThat(this.broker.tick(299 * MILLI), empty());
		assertThat(this.broker.tick(300 * MILLI).get(0), instanceOf(SlotDecision.Refused.class));
		assertThat(this.broker.release("1", SlotOutcome.COMPLETED, 301 * MILLI), empty());
		assertThat(this.broker.held(A), equalTo(0));
	}

	/**
	 * Guards against a team that takes the slots of others by sending five times as many
	 * requests.
	 */
	@Test
	void slotsAreSharedInTokensAcrossTeams() {
		endpoints(4, A);
		Map<String, Integer> served = new HashMap<>();
		Deque<String> running = new ArrayDeque<>();
		int id = 0;
		for (int step = 0; step < 1000; step++) {
			long now = step * 100L * MILLI;
			List<SlotDecision> decisions = new ArrayList<>();
			for (int i = 0; i < 5; i++) {
				decisions.addAll(this.broker.request(slot("heavy-" + id++, "heavy", 100), now));
			}
			decisions.addAll(this.broker.request(slot("light-" + id++, "light", 100), now));
			for (int i = 0; i < 2 && !running.isEmpty(); i++) {
				decisions.addAll(this.broker.release(running.remove(), SlotOutcome.COMPLETED, now));
			}
			for (SlotDecision decision : decisions) {
				if (decision instanceof SlotDecision.Granted) {
					running.add(decision.requestId());
					served.merge(decision.requestId().split("-")[0], 1, Integer::sum);
				}
			}
		}
		assertThat(served.get("light"), greaterThanOrEqualTo(950));
		assertThat(served.get("heavy"), greaterThanOrEqualTo(950));
	}

	/**
	 * Guards against full load on an endpoint in cold start.
	 */
	@Test
	void coldEndpointStartsWithOneSlotAndDoubles() {
		endpoints(8, A);
		this.broker.coldDetected(A);
		for (int i = 0; i < 4; i++) {
			assertThat(requestSlot("in-" + i, i).size(), equalTo(1));
			assertThat(requestSlot("over-" + i, i), empty());
			this.broker.release("over-" + i, SlotOutcome.CANCELLED, i);
			this.broker.release("in-" + i, SlotOutcome.COMPLETED, i);
		}
		assertThat(requestSlot("x", 5).size(), equalTo(1));
		assertThat(requestSlot("y", 5).size(), equalTo(1));
		assertThat(requestSlot("z", 5), empty());
	}

	@Test
	void absentEndpointCompletesItsStreamsAndGetsNothingNew() {
		endpoints(2, A);
		requestSlot("1", 0);
		this.broker.configure(List.of(), MILLI);
		assertThat(requestSlot("2", 1).get(0), instanceOf(SlotDecision.Refused.class));
		assertThat(this.broker.held(A), equalTo(1));
	}

	/**
	 * Guards against a suspect that crashes an endpoint with other requests on it.
	 */
	@Test
	void suspectRunsAloneOnItsEndpoint() {
		endpoints(2, A);
		requestSlot("1", 0);
		SlotRequest suspect = new SlotRequest("s", VM, TeamId.of("team"), 1, 100, 5_000 * MILLI, true, null, Set.of());
		assertThat(this.broker.request(suspect, 0), empty());
		assertThat(requestSlot("2", 1), empty());
		assertThat(this.broker.release("1", SlotOutcome.COMPLETED, 2 * MILLI), contains(granted("s", A)));
		assertThat(this.broker.release("s", SlotOutcome.COMPLETED, 3 * MILLI), contains(granted("2", A)));
	}

	@Test
	void preferredEndpointIsUsedUpToTheBound() {
		endpoints(8, A, B);
		List<EndpointId> chosen = new ArrayList<>();
		for (int i = 0; i < 5; i++) {
			SlotRequest request = new SlotRequest("r" + i, VM, TeamId.of("team"), 1, 100, MILLI, false, A, Set.of());
			chosen.add(((SlotDecision.Granted) this.broker.request(request, 0).get(0)).endpoint());
		}
		assertThat(chosen, contains(A, A, A, B, A));
	}

	/**
	 * Guards against an endpoint that gets twice its load after a change of the owner,
	 * and against slots that are never freed.
	 */
	@Test
	void newOwnerRebuildsFromStreamLists() {
		this.broker.configure(List.of(new Candidate(A, 2)), 0);
		assertThat(requestSlot("1", 0), empty());
		ObservedStream old = new ObservedStream("old", VM);
		assertThat(this.broker.observed(A, List.of(old), MILLI, 2 * MILLI), contains(granted("1", A)));
		assertThat(requestSlot("2", 3), empty());
		assertThat(this.broker.observed(A, List.of(), 4 * MILLI, 5 * MILLI), contains(granted("2", A)));
	}

	@Test
	void slotsOfFailedVmAreReclaimed() {
		endpoints(2, A);
		requestSlot("1", 0);
		requestSlot("2", 0);
		this.broker.observed(A, List.of(new ObservedStream("1", VM)), MILLI, MILLI);
		this.broker.vmRemoved(VM, 2 * MILLI);
		assertThat("the engine still runs the listed stream", this.broker.held(A), equalTo(1));
		this.broker.tick(16_000 * MILLI);
		assertThat(this.broker.held(A), equalTo(0));
	}

	/**
	 * Guards against a retry storm that multiplies the load of an overloaded pool.
	 */
	@Test
	void retriesAreATenthOfRequests() {
		RetryBudget budget = RetryBudget.of(0.1);
		int retries = 0;
		for (int i = 0; i < 1000; i++) {
			budget.requested();
			retries += budget.tryRetry() ? 1 : 0;
			retries += budget.tryRetry() ? 1 : 0;
		}
		assertThat((double) retries, closeTo(100, 2));
	}

}
