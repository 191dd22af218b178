package org.banyanstile.tools.burn;

import java.util.List;
import java.util.Map;

import org.banyanstile.config.api.ApiJson;
import org.banyanstile.config.api.BurnCause;
import org.banyanstile.config.api.BurnReport;
import org.banyanstile.config.api.BurnSeries;
import org.banyanstile.config.api.BurnWindow;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

/**
 * Tests for {@link BurnSummary}, {@link BurnTable} and {@link BurnPage}.
 *
 * @author banyanstile contributors
 */
class BurnSummaryTests {

	private static final long AT = 1_000_000_000L;

	private static BurnReport report(String vm, String team, BurnWindow window, long requests,
			Map<BurnCause, Long> causes) {
		return new BurnReport(vm, AT,
				List.of(new BurnSeries(window, team, "draft-writer", "lima-a", requests, causes)));
	}

	@Test
	void addsUpTheCountersOfSeveralVms() throws Exception {
		BurnReport first = report("v1", "t", BurnWindow.ONE_HOUR, 900, Map.of(BurnCause.REFUSED_WITHIN_RATE, 2L));
		BurnReport second = report("v2", "t", BurnWindow.ONE_HOUR, 100,
				Map.of(BurnCause.REFUSED_WITHIN_RATE, 1L, BurnCause.LATE_FIRST_TOKEN, 50L));
		BurnReport parsed = ApiJson.read(ApiJson.write(second), BurnReport.class);
		assertThat(parsed, is(equalTo(second)));
		BurnSummary summary = BurnSummary.of(List.of(first, parsed, first));
		assertThat(summary.groups(BurnDimension.TEAM), hasSize(1));
		BurnLine line = summary.groups(BurnDimension.TEAM).get(0).worst();
		assertThat(line.requests(), is(1000L));
		assertThat(line.burnRate(), is(closeTo(3.0, 1e-9)));
		assertThat(line.worst(), is(BurnCause.REFUSED_WITHIN_RATE));
		assertThat(BurnTable.render(summary),
				containsString("refused within rate (3), late first token (50) of 1000 requests in 1 h"));
	}

	@Test
	void theGroupWithTheHighestRateComesFirst() {
		BurnSummary summary = BurnSummary.of(List.of(report("v1", "a", BurnWindow.FIVE_MINUTES, 100, Map.of()),
				report("v2", "b", BurnWindow.THREE_DAYS, 100, Map.of(BurnCause.SLOW_DECODE, 10L)),
				report("v3", "a", BurnWindow.THREE_DAYS, 100, Map.of(BurnCause.SLOW_DECODE, 1L))));
		assertThat(summary.groups(BurnDimension.TEAM).stream().map(BurnGroup::name).toList(), contains("b", "a"));
		assertThat(summary.groups(BurnDimension.FLEET).get(0).worst().window(), is(BurnWindow.THREE_DAYS));
		assertThat(BurnTable.rate(summary.groups(BurnDimension.TEAM).get(0), BurnWindow.FIVE_MINUTES), is("-"));
	}

	@Test
	void thePageNamesTheCauseAndEscapesNames() {
		BurnSummary summary = BurnSummary
			.of(List.of(report("v1", "<script>", BurnWindow.SIX_HOURS, 10, Map.of(BurnCause.LOST_ANSWER, 1L))));
		String page = BurnPage.render(summary, List.of("no connection to 127.0.0.1:1"));
		assertThat(page, containsString("lost answer (1)"));
		assertThat(page, containsString("<rect class=\"lost-answer\""));
		assertThat(page, containsString("Not included: no connection"));
		assertThat(page, not(containsString("<script>")));
		assertThat(page, not(containsString("http://")));
	}

}
