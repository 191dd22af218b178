package org.banyanstile.core.limit;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.both;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

/**
 * Tests for {@link ColdRate}.
 *
 * @author banyanstile contributors
 */
class ColdRateTests {

	private static final long MILLI = 1_000_000;

	@Test
	void sumOverVmsStaysWithinTheRateOfAColdEndpoint() {
		int vms = 8;
		ColdRate[] rates = new ColdRate[vms];
		for (int i = 0; i < vms; i++) {
			rates[i] = ColdRate.create(0);
		}
		int taken = 0;
		for (int millis = 0; millis < 1000; millis++) {
			for (int i = 0; i < vms; i++) {
				taken += rates[i].tryTake(20, new FleetPosition.Position(i, vms), millis * MILLI) ? 1 : 0;
			}
		}
		assertThat(taken, is(lessThanOrEqualTo((int) (20 * 1.5 + 5))));
	}

	@Test
	void noRequestIsAllowedWhileTheClockDoesNotAdvance() {
		ColdRate rate = ColdRate.create(0);
		assertThat(rate.tryTake(20, new FleetPosition.Position(0, 8), 0), is(true));
		assertThat(rate.tryTake(20, new FleetPosition.Position(0, 8), 0), is(false));
	}

	@ParameterizedTest
	@ValueSource(ints = { 8, 60, 1100 })
	void rateIsUsedAlsoByALargeFleet(int vms) {
		List<ColdRate> rates = new ArrayList<>();
		for (int i = 0; i < vms; i++) {
			rates.add(ColdRate.create(0));
		}
		int taken = 0;
		for (int millis = 0; millis < 3000; millis += 10) {
			for (int i = 0; i < vms; i++) {
				taken += rates.get(i).tryTake(16, new FleetPosition.Position(i, vms), millis * MILLI) ? 1 : 0;
			}
		}
		assertThat(taken, is(both(greaterThanOrEqualTo(40)).and(lessThanOrEqualTo(56))));
	}

	/**
	 * Guards against a first request of each VM of a large fleet at the same moment.
	 */
	@ParameterizedTest
	@ValueSource(ints = { 8, 60, 1100 })
	void firstRequestsOfAllVmsStayWithinTheRateOfAColdEndpoint(int vms) {
		int taken = 0;
		for (int i = 0; i < vms; i++) {
			taken += ColdRate.create(0).tryTake(16, new FleetPosition.Position(i, vms), 0) ? 1 : 0;
		}
		assertThat(taken, is(lessThanOrEqualTo((int) (16 * 1.5 + 5))));
	}

}
