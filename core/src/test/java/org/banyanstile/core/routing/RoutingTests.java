package org.banyanstile.core.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import org.banyanstile.core.common.EndpointId;
import org.banyanstile.core.common.TeamId;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;

/**
 * Tests of endpoint choice, cold-start detection and attribution of crashes.
 *
 * @author banyanstile contributors
 */
class RoutingTests {

	private static final CrashAttribution.Fingerprint BAD = new CrashAttribution.Fingerprint(TeamId.of("a"), "bad");

	private static final CrashAttribution.Fingerprint GOOD = new CrashAttribution.Fingerprint(TeamId.of("b"), "good");

	/**
	 * Guards against an overloaded endpoint while the pool has no owner.
	 */
	@ParameterizedTest
	@CsvSource({ "20, 9", "20, 1", "20, 1100", "3, 8" })
	void capsOfAllVmsAddUpToTheCapacity(int capacity, int vms) {
		Candidate candidate = new Candidate(EndpointId.of("draft-writer-01"), capacity);
		int sum = 0;
		for (int vm = 0; vm < vms; vm++) {
			sum += TwoChoices.cap(candidate, vm, vms);
		}
		assertThat(sum, equalTo(capacity));
	}

	@Test
	void vmAtItsCapsGetsNoEndpoint() {
		LaggingLoad load = new LaggingLoad();
		List<Candidate> candidates = new ArrayList<>();
		for (int i = 0; i < 3; i++) {
			candidates.add(new Candidate(EndpointId.of("e" + i), 4));
		}
		TwoChoices choices = TwoChoices.create(load, new Random(1));
		for (int i = 0; i < 6; i++) {
			load.started(choices.choose(candidates, 0, 2).orElseThrow());
		}
		assertThat(choices.choose(candidates, 0, 2).isPresent(), is(false));
	}

	/**
	 * Guards against the refusal of innocent requests that were in flight at a crash, and
	 * against endless retries of the one that caused it.
	 */
	@Test
	void secondCrashInIsolationIsAVerdict() {
		CrashAttribution crashes = new CrashAttribution();
		assertThat(crashes.crashed(List.of(BAD, GOOD), false, 0).isPresent(), is(false));
		assertThat(crashes.isSuspect(GOOD, 1), is(true));
		crashes.succeeded(GOOD);
		assertThat(crashes.isSuspect(GOOD, 2), is(false));
		assertThat(crashes.crashed(List.of(BAD), true, 3).orElseThrow(), equalTo(BAD));
		assertThat(crashes.isRefused(BAD, 4), is(true));
		assertThat(crashes.verdicts(3).get(BAD), equalTo(CrashAttribution.VERDICT_NANOS));
		assertThat(crashes.isRefused(BAD, 3 + CrashAttribution.VERDICT_NANOS), is(false));
	}

	@Test
	void coldStartIsDetectedFromSlowTokensAndRestarts() {
		ColdStartDetector detector = new ColdStartDetector();
		for (int i = 0; i < 50; i++) {
			assertThat(detector.answered(20 + i % 10), is(false));
		}
		assertThat(detector.answered(90), is(true));
		detector.connectionRefused();
		assertThat(detector.connectionAccepted(), is(true));
		assertThat(detector.connectionAccepted(), is(false));
	}

	@Test
	void prefillPrefersLocalEndpointsWithTheFewestPendingTokens() {
		PrefillChoice choice = PrefillChoice.create(new LaggingLoad(), new Random(1), 1000);
		Candidate local = new Candidate(EndpointId.of("near"), 20);
		Candidate remote = new Candidate(EndpointId.of("far"), 20);
		assertThat(choice.choose(List.of(local), List.of(remote), 100).orElseThrow(), equalTo(local.endpoint()));
		assertThat(choice.choose(List.of(), List.of(remote), 100).orElseThrow(), equalTo(remote.endpoint()));
		assertThat(choice.choose(List.of(), List.of(), 100).isPresent(), is(false));
	}

}
