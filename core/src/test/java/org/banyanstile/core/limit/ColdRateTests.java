package org.banyanstile.core.limit;

import org.junit.jupiter.api.Test;

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

}
