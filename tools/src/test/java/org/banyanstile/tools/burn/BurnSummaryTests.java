package org.banyanstile.tools.burn;

import java.util.List;
import java.util.Map;

import org.banyanstile.config.api.ApiJson;
import org.banyanstile.config.api.BurnBucket;
import org.banyanstile.config.api.BurnCause;
import org.banyanstile.config.api.BurnReport;
import org.banyanstile.config.api.BurnSeries;
import org.banyanstile.config.api.BurnWindow;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
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

	private static BurnReport report(String vm, String team, long start, long requests, Map<BurnCause, Long> causes) {
		return new BurnReport(vm, AT, List.of(new BurnSeries(BurnWindow.FIVE_MINUTES, team, "draft-writer", "lima-a",
				List.of(new BurnBucket(start, requests, causes)))));
	}

	@Test
	void addsUpTheCountersOfSeveralVms() throws Exception {
		BurnReport first = report("v1", "t", AT - 10_000, 900, Map.of(BurnCause.REFUSED_WITHIN_RATE, 2L));
		BurnReport second = report("v2", "t", AT - 10_000, 100,
				Map.of(BurnCause.REFUSED_WITHIN_RATE, 1L, BurnCause.LATE_FIRST_TOKEN, 50L));
		BurnReport parsed = ApiJson.read(ApiJson.write(second), BurnReport.class);
		assertThat(parsed, is(equalTo(second)));
		BurnSummary summary = BurnSummary.of(List.of(first, parsed, first));
		assertThat(summary.lines(BurnWindow.FIVE_MINUTES, BurnDimension.TEAM), hasSize(1));
		BurnLine line = summary.lines(BurnWindow.FIVE_MINUTES, BurnDimension.TEAM).get(0);
		assertThat(line.requests(), is(1000L));
		assertThat(line.burnRate(), is(closeTo(3.0, 1e-9)));
		assertThat(line.worst(), is(BurnCause.REFUSED_WITHIN_RATE));
		assertThat(BurnTable.render(summary), containsString("refused within rate (3), late first token (50)"));
	}

	@Test
	void leavesOutBucketsBeforeTheWindow() {
		BurnSummary summary = BurnSummary
			.of(List.of(report("v1", "t", AT - 310_000, 5, Map.of()), report("v2", "t", AT - 300_000, 7, Map.of())));
		assertThat(summary.lines(BurnWindow.FIVE_MINUTES, BurnDimension.FLEET).get(0).requests(), is(7L));
	}

	@Test
	void thePageNamesTheCauseAndEscapesNames() {
		BurnSummary summary = BurnSummary
			.of(List.of(report("v1", "<script>", AT - 10_000, 10, Map.of(BurnCause.LOST_ANSWER, 1L))));
		String page = BurnPage.render(summary, List.of("no connection to 127.0.0.1:1"));
		assertThat(page, containsString("lost answer (1)"));
		assertThat(page, containsString("<rect class=\"lost-answer\""));
		assertThat(page, containsString("Not included: no connection"));
		assertThat(page, not(containsString("<script>")));
		assertThat(page, not(containsString("http://")));
	}

}
