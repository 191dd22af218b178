package org.banyanstile.server.router;

import java.time.Duration;
import java.util.concurrent.atomic.AtomicLong;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/**
 * Tests for {@link Departure} with a shutdown time of 8 s.
 *
 * @author banyanstile contributors
 */
class DepartureTests {

	private static final long GENERATION_MILLIS = 9000;

	private static final long PLAIN_MILLIS = 1500;

	private final AtomicLong now = new AtomicLong(-5_000_000_000L);

	private final Departure departure = Departure.within(Duration.ofSeconds(8), this.now::get);

	private void pass(long millis) {
		this.now.addAndGet(millis * 1_000_000);
	}

	@Test
	void everyRequestIsTakenBeforeTheShutdown() {
		pass(20_000);
		assertThat(this.departure.hasBegun(), is(false));
		assertThat(this.departure.mayTake(GENERATION_MILLIS), is(true));
	}

	@Test
	void callersOfAnOlderDirectoryAnswerAreServed() {
		this.departure.begin();
		pass(2700);
		assertThat(this.departure.mayTake(GENERATION_MILLIS), is(true));
		assertThat(this.departure.isOver(0), is(false));
	}

	@Test
	void requestThatWouldBeCutOffIsRefused() {
		this.departure.begin();
		pass(3000);
		assertThat(this.departure.mayTake(GENERATION_MILLIS), is(false));
		assertThat(this.departure.mayTake(PLAIN_MILLIS), is(true));
		pass(1600);
		assertThat(this.departure.mayTake(PLAIN_MILLIS), is(false));
	}

	@Test
	void processEndsWhenNothingRunsOrItsTimeIsOver() {
		this.departure.begin();
		pass(4600);
		assertThat(this.departure.isOver(0), is(true));
		assertThat(this.departure.isOver(1), is(false));
		pass(2500);
		assertThat(this.departure.isOver(1), is(true));
	}

	@Test
	void shortShutdownEndsInItsOwnTime() {
		Departure brief = Departure.within(Duration.ofSeconds(3), this.now::get);
		brief.begin();
		pass(2200);
		assertThat(brief.isOver(1), is(true));
		assertThat(brief.mayTake(1), is(false));
	}

}
