package org.banyanstile.core.membership;

import java.util.Set;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/**
 * Tests for {@link VersionPoll}.
 *
 * @author banyanstile contributors
 */
class VersionPollTests {

	private final VersionPoll poll = VersionPoll.create(Set.of("b", "c", "d"), 7);

	@Test
	void majorityThatKnowsNothingNewerIsEnough() {
		this.poll.answered("b", 7);
		assertThat(this.poll.isCurrent(), is(false));
		this.poll.answered("b", 7);
		assertThat(this.poll.isCurrent(), is(false));
		this.poll.answered("c", 3);
		assertThat(this.poll.isCurrent(), is(true));
		assertThat(this.poll.isDecided(), is(false));
		this.poll.answered("d", 7);
		assertThat(this.poll.isDecided(), is(true));
	}

	@Test
	void oneVmThatKnowsANewerVersionDecides() {
		this.poll.answered("b", 7);
		this.poll.answered("c", 7);
		this.poll.answered("d", 8);
		assertThat(this.poll.isDecided(), is(true));
		assertThat(this.poll.isCurrent(), is(false));
	}

	@Test
	void answerOfAVmThatWasNotAskedDoesNotCount() {
		this.poll.answered("x", 7);
		this.poll.answered("y", 9);
		assertThat(this.poll.isDecided(), is(false));
		assertThat(this.poll.isCurrent(), is(false));
	}

	@Test
	void onlyVmIsCurrentIfItKnowsTheTable() {
		assertThat(VersionPoll.create(Set.of(), 7).isCurrent(), is(true));
		assertThat(VersionPoll.create(Set.of(), -1).isCurrent(), is(false));
	}

}
