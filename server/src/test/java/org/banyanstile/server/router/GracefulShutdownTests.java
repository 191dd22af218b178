package org.banyanstile.server.router;

import java.time.Duration;
import java.util.concurrent.atomic.AtomicLong;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/**
 * Tests for {@link GracefulShutdown} with a shutdown time of 8 s.
 *
 * @author banyanstile contributors
 */
class GracefulShutdownTests {

	private static final long GENERATION_MILLIS = 9000;

	private static final long LIKELY_GENERATION_MILLIS = 4000;

	private static final long PLAIN_MILLIS = 1500;

	private final AtomicLong nowNanos = new AtomicLong(-5_000_000_000L);

	private final GracefulShutdown shutdown = GracefulShutdown.of(Duration.ofSeconds(8), this.nowNanos::get);

	private void advance(long millis) {
		this.nowNanos.addAndGet(millis * 1_000_000);
	}

	@Test
	void everyRequestIsTakenBeforeTheShutdown() {
		advance(20_000);
		assertThat(this.shutdown.hasBegun(), is(false));
		assertThat(this.shutdown.accepts(GENERATION_MILLIS, LIKELY_GENERATION_MILLIS), is(true));
	}

	@Test
	void callersOfAnOlderDirectoryAnswerAreServed() {
		this.shutdown.begin();
		advance(2700);
		assertThat(this.shutdown.accepts(GENERATION_MILLIS, LIKELY_GENERATION_MILLIS), is(true));
		assertThat(this.shutdown.mayExit(0), is(false));
	}

	@Test
	void requestThatWouldBeCutOffIsRefused() {
		this.shutdown.begin();
		advance(3000);
		assertThat(this.shutdown.accepts(GENERATION_MILLIS, LIKELY_GENERATION_MILLIS), is(false));
		assertThat(this.shutdown.accepts(PLAIN_MILLIS, PLAIN_MILLIS), is(true));
		advance(1600);
		assertThat(this.shutdown.accepts(PLAIN_MILLIS, PLAIN_MILLIS), is(false));
	}

	@Test
	void generationThatProbablyOutlivesTheShutdownIsRefusedAtOnce() {
		this.shutdown.begin();
		assertThat(this.shutdown.accepts(GENERATION_MILLIS, Long.MAX_VALUE), is(false));
		advance(2500);
		assertThat(this.shutdown.accepts(GENERATION_MILLIS, 2 * LIKELY_GENERATION_MILLIS), is(false));
	}

	@Test
	void orderIsRefusedInAShortShutdownThatItCouldOutlive() {
		GracefulShutdown shortShutdown = GracefulShutdown.of(Duration.ofSeconds(3), this.nowNanos::get);
		shortShutdown.begin();
		assertThat(shortShutdown.accepts(PLAIN_MILLIS, Long.MAX_VALUE), is(true));
		advance(1000);
		assertThat(shortShutdown.accepts(PLAIN_MILLIS, Long.MAX_VALUE), is(false));
	}

	@Test
	void requestsThatStillRunAreEndedBeforeTheExit() {
		this.shutdown.begin();
		advance(6700);
		assertThat(this.shutdown.mustEndRuns(), is(false));
		advance(200);
		assertThat(this.shutdown.mustEndRuns(), is(true));
		assertThat(this.shutdown.mayExit(1), is(false));
	}

	@Test
	void bodiesThatStillArriveAreRefusedWhenNothingIsAccepted() {
		assertThat(this.shutdown.acceptsNone(), is(false));
		this.shutdown.begin();
		advance(4400);
		assertThat(this.shutdown.acceptsNone(), is(false));
		advance(100);
		assertThat(this.shutdown.acceptsNone(), is(true));
	}

	@Test
	void processEndsWhenNothingRunsOrItsTimeIsOver() {
		this.shutdown.begin();
		advance(4600);
		assertThat(this.shutdown.mayExit(0), is(true));
		assertThat(this.shutdown.mayExit(1), is(false));
		advance(2500);
		assertThat(this.shutdown.mayExit(1), is(true));
	}

	@Test
	void shortShutdownEndsWithinItsDuration() {
		GracefulShutdown shortShutdown = GracefulShutdown.of(Duration.ofSeconds(3), this.nowNanos::get);
		shortShutdown.begin();
		advance(2200);
		assertThat(shortShutdown.mayExit(1), is(true));
		assertThat(shortShutdown.accepts(1, 1), is(false));
	}

}
