package org.banyanstile.core.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.banyanstile.core.catalog.EndpointRole;
import org.banyanstile.core.catalog.RegisteredEndpoint;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

/**
 * Tests for {@link LeavingEndpoints}.
 *
 * @author banyanstile contributors
 */
class LeavingEndpointsTests {

	private static final long STARTED = 1000;

	private final LeavingEndpoints leaving = new LeavingEndpoints();

	private long now = Long.MAX_VALUE - 5;

	private static RegisteredEndpoint endpoint(String id, long startMillis, boolean ready) {
		return new RegisteredEndpoint(id, "desk", "127.0.0.1:80", "z1", EndpointRole.PLAIN, ready, 6, 0, startMillis,
				"v1");
	}

	private static LeavingReport report(String id) {
		return new LeavingReport(id, STARTED, 0);
	}

	// Guards against an endpoint that gets no work since an earlier start of it left.
	@Test
	void noticeCountsForOneStartOfTheEndpoint() {
		assertThat(this.leaving.merge(List.of(report("e")), this.now), contains("e"));
		assertThat(this.leaving.isLeaving(endpoint("e", STARTED, true)), is(true));
		assertThat(this.leaving.isLeaving(endpoint("e", STARTED + 1, true)), is(false));
		assertThat(this.leaving.isLeaving(endpoint("f", STARTED, true)), is(false));
	}

	@Test
	void noticeIsPassedOnWhileTheRegistrationDoesNotSayThatTheEndpointLeaves() {
		this.leaving.merge(List.of(report("e")), this.now);
		this.now += 2_000_000_000L;
		assertThat(this.leaving.reports(Map.of("e", endpoint("e", STARTED, true)), this.now),
				contains(new LeavingReport("e", STARTED, 2000)));
		assertThat(this.leaving.reports(Map.of("e", endpoint("e", STARTED, false)), this.now), is(empty()));
		assertThat(this.leaving.reports(Map.of("e", endpoint("e", STARTED + 1, true)), this.now), is(empty()));
		assertThat(this.leaving.reports(Map.of(), this.now), is(empty()));
	}

	@Test
	void noticeIsForgottenAtTheSameTimeByAllVms() {
		LeavingEndpoints other = new LeavingEndpoints();
		this.leaving.merge(List.of(report("e")), this.now);
		this.now += LeavingEndpoints.FORGET_NANOS - 1_000_000;
		Map<String, RegisteredEndpoint> registered = Map.of("e", endpoint("e", STARTED, true));
		other.merge(this.leaving.reports(registered, this.now), this.now);
		assertThat(other.forgetOld(this.now), is(false));
		this.now += 1_000_000;
		assertThat(this.leaving.forgetOld(this.now), is(true));
		assertThat(other.forgetOld(this.now), is(true));
		assertThat(other.isLeaving(endpoint("e", STARTED, true)), is(false));
	}

	@Test
	void reportsAreBoundedAndCoverAllEndpointsInTurn() {
		Map<String, RegisteredEndpoint> registered = new HashMap<>();
		for (int i = 0; i < 3 * LeavingEndpoints.MAX_REPORTED; i++) {
			this.leaving.merge(List.of(report("e" + i)), this.now);
			registered.put("e" + i, endpoint("e" + i, STARTED, true));
		}
		LeavingEndpoints other = new LeavingEndpoints();
		List<String> added = new ArrayList<>();
		for (int i = 0; i < 3; i++) {
			added.addAll(other.merge(this.leaving.reports(registered, this.now), this.now));
		}
		assertThat(added, hasSize(registered.size()));
		for (int i = 0; i < 2 * LeavingEndpoints.MAX_ENDPOINTS; i++) {
			this.leaving.merge(List.of(report("x" + i)), this.now);
		}
		this.leaving.merge(List.of(report("x".repeat(50_000))), this.now);
		assertThat(this.leaving.isLeaving(endpoint("x".repeat(50_000), STARTED, true)), is(false));
	}

}
