package org.banyanstile.core.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.banyanstile.core.catalog.EndpointRole;
import org.banyanstile.core.catalog.RegisteredEndpoint;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsInAnyOrder;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

/**
 * Tests for {@link RoleBalance}.
 *
 * @author banyanstile contributors
 */
class RoleBalanceTests {

	private static List<RegisteredEndpoint> engines(int prefill, int decode) {
		List<RegisteredEndpoint> engines = new ArrayList<>();
		for (int i = 0; i < prefill + decode; i++) {
			engines.add(new RegisteredEndpoint("e" + i, "llm", "10.0.0.1:80", "dc" + i % 3,
					(i < prefill) ? EndpointRole.PREFILL : EndpointRole.DECODE, true, 64, 0, 0, ""));
		}
		return engines;
	}

	private static List<RoleBalance.RoleChange> plan(List<RegisteredEndpoint> engines,
			Map<String, EndpointRole> changing) {
		return RoleBalance.plan(engines, List.of(), changing, (id) -> 0);
	}

	@Test
	void surplusPrefillEnginesBecomeDecodeEngines() {
		List<RoleBalance.RoleChange> plan = plan(engines(5, 8), Map.of());
		assertThat(plan, hasSize(3));
		assertThat(plan.get(0).role(), is(EndpointRole.DECODE));
	}

	@Test
	void lostPrefillEnginesAreReplaced() {
		List<RoleBalance.RoleChange> plan = plan(engines(0, 5), Map.of());
		assertThat(plan, hasSize(RoleBalance.prefillTarget(5)));
		assertThat(plan.get(0).role(), is(EndpointRole.PREFILL));
	}

	@Test
	void engineThatChangesCountsAsItsNewRole() {
		assertThat(plan(engines(2, 4), Map.of("e0", EndpointRole.DECODE)), is(empty()));
	}

	@Test
	void balancedRolesAreNotChanged() {
		for (int n = 2; n < 70; n++) {
			int prefill = RoleBalance.prefillTarget(n);
			assertThat(plan(engines(prefill, n - prefill), Map.of()), is(empty()));
		}
	}

	@Test
	void onlyAFewEnginesChangeAtOnce() {
		assertThat(plan(engines(40, 20), Map.of()).size(), is(lessThanOrEqualTo(RoleBalance.MAX_ORDERS_PER_ROUND)));
	}

	@Test
	void smallServiceHasOnePrefillEngineAlsoWhenOneEngineLeaves() {
		assertThat(plan(engines(1, 5), Map.of()), is(empty()));
		assertThat(plan(engines(1, 4), Map.of()), is(empty()));
		assertThat(plan(engines(0, 5), Map.of()), hasSize(1));
	}

	@Test
	void prefillTakesAFifthOfALargeService() {
		assertThat(RoleBalance.prefillTarget(8), is(2));
		assertThat(RoleBalance.prefillTarget(47), is(9));
		assertThat(RoleBalance.prefillTarget(50), is(10));
	}

	@Test
	void engineThatLeavesAndReturnsChangesNoOtherEngine() {
		assertThat(plan(engines(2, 5), Map.of()), is(empty()));
		assertThat(plan(engines(2, 6), Map.of()), is(empty()));
		assertThat(plan(engines(2, 4), Map.of()), hasSize(1));
	}

	@Test
	void engineThatCrashedStillCountsUntilItIsExpectedBack() {
		List<RegisteredEndpoint> all = engines(2, 6);
		List<RegisteredEndpoint> left = all.subList(0, 6);
		List<RegisteredEndpoint> absent = all.subList(6, 8);
		assertThat(RoleBalance.plan(left, absent, Map.of(), (id) -> 0), is(empty()));
		assertThat(RoleBalance.plan(left, List.of(), Map.of(), (id) -> 0), hasSize(1));
	}

	@Test
	void singleEngineIsADecodeEngine() {
		assertThat(RoleBalance.prefillTarget(1), is(0));
	}

	@Test
	void eachVersionHasAPrefillEngineOfItsOwn() {
		List<RegisteredEndpoint> engines = new ArrayList<>();
		for (int i = 0; i < 13; i++) {
			engines.add(new RegisteredEndpoint("e" + i, "llm", "10.0.0.1:80", "dc" + i % 3,
					(i < 3) ? EndpointRole.PREFILL : EndpointRole.DECODE, true, 64, 0, 0, (i < 7) ? "v1" : "v2"));
		}
		List<RoleBalance.RoleChange> plan = RoleBalance.planByVersion(engines, List.of(), Map.of(), (id) -> 0);
		Map<String, EndpointRole> changes = new HashMap<>();
		plan.forEach((change) -> changes.put(change.engine().version() + change.role(), change.role()));
		assertThat(changes.keySet(), containsInAnyOrder("v1DECODE", "v2PREFILL"));
		assertThat(RoleBalance.planByVersion(engines(1, 5), List.of(), Map.of(), (id) -> 0), is(empty()));
	}

}
