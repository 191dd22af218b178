package org.banyanstile.server.router;

import org.banyanstile.server.ResendLines;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.allOf;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.hasEntry;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

/**
 * Tests for {@link ResendLog}.
 *
 * @author banyanstile contributors
 */
class ResendLogTests {

	private final DecisionLog log = DecisionLog.create();

	@Test
	void lineNamesBothEndpointsAndTheProofOfTheEarlierAttempt() {
		try (ResendLines written = new ResendLines()) {
			ResendLog resends = ResendLog.startingNow(this.log, "r1", "request", false);
			resends.begin("e1");
			assertThat("the first attempt is no resend", written.lines, hasSize(0));
			resends.end("e1", "refused with 503");
			resends.begin("e2");
			resends.begin("e3");
			assertThat(written.lines,
					contains(
							allOf(hasEntry("request", "r1"), hasEntry("stage", "request"), hasEntry("from", "e1"),
									hasEntry("to", "e2"), hasEntry("proof", "refused with 503"),
									hasEntry("repeatable", "false")),
							allOf(hasEntry("from", "e2"), hasEntry("to", "e3"), hasEntry("proof", "none, it ran"))));
		}
	}

	@Test
	void rateOfTheLinesIsBounded() {
		int resent = 1000;
		try (ResendLines written = new ResendLines()) {
			ResendLog resends = ResendLog.startingNow(this.log, "r2", "request", true);
			for (int i = 0; i <= resent; i++) {
				resends.begin("e" + i);
			}
			assertThat(written.lines.size(), is(lessThan(resent)));
			assertThat(this.log.suppressedLines(), is(greaterThan(0L)));
			assertThat(written.lines.size() + this.log.suppressedLines(), is((long) resent));
		}
	}

}
