package org.banyanstile.core.stream;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/**
 * Tests for {@link EventSequence}.
 *
 * @author banyanstile contributors
 */
class EventSequenceTests {

	private final EventSequence sequence = EventSequence.create();

	private void forward(String... ids) {
		for (String id : ids) {
			assertThat("event " + id, this.sequence.accept(id), is(true));
		}
	}

	private void assertRefused(String id) {
		assertThat("event " + id, this.sequence.accept(id), is(false));
	}

	@Test
	void increasingIdsAreAccepted() {
		forward("7", "8", "11", "12");
		assertThat(this.sequence.isResumable(), is(true));
	}

	@Test
	void eventThatRepeatsAnotherIsRefused() {
		forward("1", "2", "3");
		assertRefused("3");
		assertRefused("2");
		forward("4");
	}

	@Test
	void eventWithoutNumberIsRefusedInANumberedStream() {
		forward("1");
		assertRefused(null);
		assertRefused("");
		assertRefused("x");
		assertRefused("-2");
		assertRefused("9".repeat(30));
		forward("2");
	}

	@Test
	void resumedStreamContinuesAfterTheLastEvent() {
		forward("1", "2");
		this.sequence.resume();
		assertRefused("1");
		assertRefused("2");
		forward("3", "4");
	}

	@Test
	void gapWhereAStreamIsResumedIsRefused() {
		forward("1", "2");
		this.sequence.resume();
		assertRefused("4");
		forward("3");
	}

	@Test
	void gapIsUnknownIfIdsAreNotConsecutive() {
		forward("2", "5");
		this.sequence.resume();
		assertRefused("5");
		forward("9", "10");
	}

	@Test
	void streamThatTheCallerResumesContinuesAfterItsLastEvent() {
		EventSequence resumed = EventSequence.createAfter("12");
		assertThat(resumed.accept("1"), is(false));
		assertThat(resumed.accept("12"), is(false));
		assertThat(resumed.accept(null), is(false));
		assertThat(resumed.accept("13"), is(true));
		resumed.resume();
		assertThat(resumed.accept("15"), is(false));
		assertThat(resumed.accept("14"), is(true));
		assertThat(resumed.accept("15"), is(true));
	}

	// Guards against a stream that its caller can never resume since its ids count
	// tokens.
	@Test
	void streamThatTheCallerResumesMayHaveIdsThatIncreaseByMoreThanOne() {
		EventSequence resumed = EventSequence.createAfter("12");
		assertThat(resumed.accept("4"), is(false));
		assertThat(resumed.accept("12"), is(false));
		assertThat(resumed.accept("16"), is(true));
		assertThat(resumed.accept("16"), is(false));
		resumed.resume();
		assertThat(resumed.accept("16"), is(false));
		assertThat(resumed.accept("20"), is(true));
	}

	@Test
	void streamThatBrokeAfterItsFirstEventMayHaveIdsThatIncreaseByMoreThanOne() {
		forward("4");
		this.sequence.resume();
		assertRefused("4");
		forward("8", "12");
	}

	@Test
	void streamThatHasNoEventYetCanBeginAgain() {
		this.sequence.resume();
		assertThat(this.sequence.isResumable(), is(true));
		forward("1", "2");
	}

	@Test
	void streamWithoutIdsCannotBeResumed() {
		assertThat(this.sequence.accept(null), is(true));
		assertThat(this.sequence.accept(null), is(true));
		assertThat(this.sequence.isResumable(), is(false));
	}

	@Test
	void positionOfTheCallerThatIsNoNumberIsIgnored() {
		EventSequence unknown = EventSequence.createAfter("abc");
		assertThat(unknown.accept("5"), is(true));
		assertThat(unknown.accept("4"), is(false));
	}

}
