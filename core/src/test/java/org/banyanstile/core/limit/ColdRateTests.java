package org.banyanstile.core.limit;

import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.hamcrest.MatcherAssert.assertThat;
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
			for (ColdRate rate : rates) {
				taken += rate.tryTake(20, vms, millis * MILLI) ? 1 : 0;
			}
		}
		assertThat(taken, is(lessThanOrEqualTo((int) (20 * 1.5 + 5))));
	}

	@Test
	void noRequestIsAllowedWhileTheClockDoesNotAdvance() {
		ColdRate rate = ColdRate.create(0);
		assertThat(rate.tryTake(20, 8, 0), is(true));
		assertThat(rate.tryTake(20, 8, 0), is(false));
	}

	/**
	 * Guards against a first request of each VM of a large fleet at the same moment.
	 */
	@Tag("known-red")
	@ParameterizedTest
	@ValueSource(ints = { 8, 60, 1100 })
	void firstRequestsOfAllVmsStayWithinTheRateOfAColdEndpoint(int vms) {
		int taken = 0;
		for (int i = 0; i < vms; i++) {
			taken += ColdRate.create(0).tryTake(16, vms, 0) ? 1 : 0;
		}
		assertThat(taken, is(lessThanOrEqualTo((int) (16 * 1.5 + 5))));
	}

}
