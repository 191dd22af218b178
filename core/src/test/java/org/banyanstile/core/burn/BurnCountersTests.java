package org.banyanstile.core.burn;

import java.util.concurrent.TimeUnit;

import org.banyanstile.core.common.DataCentreId;
import org.banyanstile.core.common.TeamId;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.equalTo;

/**
 * Tests for {@link BurnCounters}.
 *
 * @author banyanstile contributors
 */
class BurnCountersTests {

	private static final BurnKey KEY = key("team");

	private static BurnKey key(String team) {
		return new BurnKey(TeamId.of(team), "draft-writer", DataCentreId.of("lima-a"));
	}

	@Test
	void oldRequestsLeaveTheShortWindowFirst() {
		BurnCounters counters = BurnCounters.create(10);
		for (int i = 0; i < 98; i++) {
			counters.good(KEY, 0);
		}
		counters.bad(KEY, Cause.LATE_FIRST_TOKEN, 0);
		counters.bad(KEY, Cause.LOST_ANSWER, 0);
		BurnReport report = counters.report(BurnWindow.FIVE_MINUTES, 0).get(KEY);
		assertThat(report.requests(), equalTo(100L));
		assertThat(report.bad().get(Cause.LOST_ANSWER), equalTo(1L));
		assertThat(report.burnRate(0.99), closeTo(2, 1e-9));
		long later = TimeUnit.MINUTES.toNanos(6);
		assertThat(counters.report(BurnWindow.FIVE_MINUTES, later).get(KEY).requests(), equalTo(0L));
		assertThat(counters.report(BurnWindow.ONE_HOUR, later).get(KEY).requests(), equalTo(100L));
		assertThat(counters.report(BurnWindow.THREE_DAYS, TimeUnit.DAYS.toNanos(4)).get(KEY).requests(), equalTo(0L));
	}

	/**
	 * Guards against counting a request twice because of a wasted prefill.
	 */
	@Test
	void eventCountsACauseWithoutARequest() {
		BurnCounters counters = BurnCounters.create(10);
		counters.event(KEY, Cause.WASTED_PREFILL, 0);
		counters.good(KEY, 0);
		BurnReport report = counters.report(BurnWindow.FIVE_MINUTES, 0).get(KEY);
		assertThat(report.requests(), equalTo(1L));
		assertThat(report.bad().get(Cause.WASTED_PREFILL), equalTo(1L));
	}

	/**
	 * Guards against memory use that grows with the number of teams.
	 */
	@Test
	void seriesBeyondTheBoundAreCountedTogether() {
		BurnCounters counters = BurnCounters.create(2);
		for (int i = 0; i < 10; i++) {
			counters.good(key("t" + i), 0);
		}
		assertThat(counters.report(BurnWindow.ONE_HOUR, 0).size(), equalTo(3));
		assertThat(counters.report(BurnWindow.ONE_HOUR, 0).get(BurnCounters.OTHER).requests(), equalTo(8L));
	}

}
