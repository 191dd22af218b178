package org.banyanstile.core.placement;

import java.util.List;

import org.banyanstile.core.catalog.EndpointRole;
import org.banyanstile.core.catalog.RegisteredEndpoint;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

/**
 * Tests for {@link CandidateRanking}.
 *
 * @author banyanstile contributors
 */
class CandidateRankingTests {

	private static final long MEMORY = 10_000;

	private final EndpointLoads loads = new EndpointLoads();

	private final EndpointHealth health = new EndpointHealth();

	private final CandidateRanking ranking = CandidateRanking.create(this.loads, this.health);

	private static RegisteredEndpoint endpoint(String id, String dataCentre, EndpointRole role) {
		return new RegisteredEndpoint(id, "s", "10.0.0.1:80", dataCentre, role, true, 6, 0, 0, "");
	}

	private static List<String> ids(List<CandidateEndpoint> candidates) {
		return candidates.stream().map(CandidateEndpoint::id).toList();
	}

	@Test
	void unreachablePlainEndpointIsLastAndNotUsable() {
		this.health.unreachable("a", 0);
		List<CandidateEndpoint> ranked = this.ranking
			.plain(List.of(endpoint("a", "dc1", EndpointRole.PLAIN), endpoint("b", "dc1", EndpointRole.PLAIN)), 0);
		assertThat(ids(ranked), contains("b", "a"));
		assertThat(ranked.get(1).usable(), is(false));
	}

	@Test
	void decodeEngineWithoutRoomSaysWhatIsFree() {
		this.loads.begin("a", 9000);
		List<CandidateEndpoint> ranked = this.ranking.decode(
				List.of(endpoint("a", "dc1", EndpointRole.DECODE), endpoint("b", "dc1", EndpointRole.DECODE)), MEMORY,
				3000, false, 0);
		assertThat(ids(ranked), contains("b", "a"));
		assertThat(ranked.get(0).usable(), is(true));
		assertThat(ranked.get(1).usable(), is(false));
		assertThat(ranked.get(1).reason(), containsString("1000 of 10000 tokens free"));
	}

	@Test
	void prefillEngineThatRefusedIsNotUsable() {
		this.health.refused("a", 0);
		List<CandidateEndpoint> ranked = this.ranking.prefill(
				List.of(endpoint("a", "dc1", EndpointRole.PREFILL), endpoint("b", "dc2", EndpointRole.PREFILL)), "dc1",
				0);
		assertThat(ids(ranked), contains("b", "a"));
		assertThat(ranked.get(1).reason(), containsString("refused"));
	}

	@Test
	void rankingTakesNothing() {
		RegisteredEndpoint only = endpoint("a", "dc1", EndpointRole.DECODE);
		this.ranking.decode(List.of(only), MEMORY, 3000, false, 0);
		assertThat(this.loads.total("a").requests(), is(0));
	}

}
