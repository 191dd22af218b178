package org.banyanstile.core.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.banyanstile.core.catalog.EndpointRole;
import org.banyanstile.core.catalog.RegisteredEndpoint;
import org.banyanstile.core.placement.RoleBalance.RoleChange;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

/**
 * Tests for {@link DemandBalance} and {@link RoleDemand}.
 *
 * @author banyanstile contributors
 */
class DemandBalanceTests {

	private static final long MEMORY = 30_000;

	private final Map<String, Double> speeds = new HashMap<>();

	private static RegisteredEndpoint engine(int number, EndpointRole role) {
		return new RegisteredEndpoint("e" + number, "llm", "10.0.0.1:80", "dc" + number % 3, role, true, 64, 0, 0, "");
	}

	private static List<RegisteredEndpoint> engines(int prefill, int decode) {
		List<RegisteredEndpoint> engines = new ArrayList<>();
		for (int i = 0; i < prefill + decode; i++) {
			engines.add(engine(i, (i < prefill) ? EndpointRole.PREFILL : EndpointRole.DECODE));
		}
		return engines;
	}

	private List<RoleChange> plan(List<RegisteredEndpoint> engines, Map<String, EndpointRole> changing,
			RoleDemand demand) {
		return DemandBalance.of(engines, List.of(), changing, new EngineSpeeds.Table(this.speeds, 30), (id) -> 0)
			.plan(demand, MEMORY);
	}

	// Demand of which prefill is a share.
	private static RoleDemand demand(double share) {
		return new RoleDemand(10 * share * RoleDemand.PREFILL_USE, 10 * (1 - share) * RoleDemand.MEMORY_USE * MEMORY);
	}

	@Test
	void shareIsThatOfTheDemandWithinBounds() {
		assertThat(demand(0.25).prefillShare(MEMORY, 20), is(closeTo(0.25, 1e-9)));
		assertThat(demand(0.9).prefillShare(MEMORY, 20), is(RoleDemand.MAX_SHARE));
		assertThat(demand(0.01).prefillShare(MEMORY, 20), is(RoleDemand.MIN_SHARE));
	}

	@Test
	void withLittleOrUnknownDemandTheShareIsFixed() {
		assertThat(new RoleDemand(3, 0).prefillShare(MEMORY, 20), is(RoleBalance.PREFILL_SHARE));
		for (int n = 2; n < 70; n++) {
			int prefill = RoleBalance.prefillTarget(n);
			List<RoleChange> plan = DemandBalance
				.of(engines(prefill, n - prefill), List.of(), Map.of(), new EngineSpeeds.Table(Map.of(), 30), (id) -> 0)
				.plan(null, MEMORY);
			assertThat(plan, is(empty()));
		}
	}

	@Test
	void rolesFollowTheDemandButNotSmallDifferences() {
		assertThat(plan(engines(4, 16), Map.of(), demand(0.3)), hasSize(2));
		assertThat(plan(engines(4, 16), Map.of(), demand(0.23)), is(empty()));
		assertThat(plan(engines(4, 16), Map.of(), demand(0.17)), is(empty()));
		assertThat(plan(engines(4, 16), Map.of(), demand(0.1)).get(0).role(), is(EndpointRole.DECODE));
	}

	@Test
	void fastEnginesBecomePrefillEnginesAndSlowOnesDecodeEngines() {
		this.speeds.put("e1", 10.0);
		this.speeds.put("e9", 60.0);
		assertThat(plan(engines(2, 18), Map.of(), demand(0.15)).get(0).engine().id(), is("e9"));
		assertThat(plan(engines(4, 16), Map.of(), demand(0.1)).get(0).engine().id(), is("e1"));
	}

	@Test
	void fastDecodeEngineReplacesSlowPrefillEngine() {
		this.speeds.putAll(Map.of("e0", 60.0, "e1", 20.0, "e2", 30.0, "e5", 50.0));
		List<RegisteredEndpoint> engines = engines(2, 8);
		RoleDemand demand = demand(0.2);
		assertThat(plan(engines, Map.of(), demand), is(List.of(new RoleChange(engines.get(5), EndpointRole.PREFILL))));
		assertThat(plan(engines, Map.of("e5", EndpointRole.PREFILL), demand), hasSize(0));
		engines.set(5, engine(5, EndpointRole.PREFILL));
		assertThat(plan(engines, Map.of(), demand), is(List.of(new RoleChange(engines.get(1), EndpointRole.DECODE))));
		engines.set(1, engine(1, EndpointRole.DECODE));
		assertThat(plan(engines, Map.of(), demand), is(empty()));
	}

	@Test
	void enginesOfUnknownOrSimilarSpeedAreNotExchanged() {
		this.speeds.putAll(Map.of("e0", 20.0));
		assertThat(plan(engines(2, 8), Map.of(), demand(0.2)), is(empty()));
		this.speeds.putAll(Map.of("e5", 31.0));
		assertThat(plan(engines(2, 8), Map.of(), demand(0.2)), is(empty()));
	}

}
