package org.banyanstile.core.stream;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

/**
 * Tests for {@link VersionHistory}.
 *
 * @author banyanstile contributors
 */
class VersionHistoryTests {

	private static final long SECOND = TimeUnit.SECONDS.toNanos(1);

	private final VersionHistory history = VersionHistory.create(0);

	private void serve(long seconds, String... versions) {
		this.history.update(Map.of("llm", Set.of(versions)), seconds * SECOND);
	}

	private Set<String> versions(long secondsBefore, long now) {
		return this.history.versions("llm", secondsBefore * SECOND, now * SECOND);
	}

	@Test
	void versionThatHasLeftCountsForAsLongAsItsStreamsCanLast() {
		serve(1, "v1");
		serve(10, "v1", "v2");
		serve(20, "v2");
		assertThat(versions(14, 34), contains("v1", "v2"));
		assertThat(versions(14, 35), contains("v2"));
	}

	@Test
	void vmThatHasJustStartedDoesNotKnowWhatServedBefore() {
		serve(1, "v2");
		assertThat(this.history.isComplete(14 * SECOND, 13 * SECOND), is(false));
		assertThat(this.history.isComplete(14 * SECOND, 14 * SECOND), is(true));
	}

	@Test
	void vmThatHasJustStartedLearnsFromOneThatHasNot() {
		VersionHistory other = VersionHistory.create(-100 * SECOND);
		other.update(Map.of("llm", Set.of("v1")), -50 * SECOND);
		other.update(Map.of("llm", Set.of("v2"), "other", Set.of("v1")), -4 * SECOND);
		serve(1, "v2");
		this.history.merge(other.reports(2 * SECOND), other.knownMillis(2 * SECOND), 2 * SECOND);
		assertThat(this.history.isComplete(14 * SECOND, 2 * SECOND), is(true));
		assertThat(versions(14, 2), contains("v1", "v2"));
		assertThat(versions(5, 2), contains("v2"));
	}

	// Guards against streams that are joined from two versions by a VM that was suspended
	// or cut off while the second one served.
	@Test
	void vmThatMissedATimeDoesNotKnowWhatServedInIt() {
		serve(1, "v1");
		this.history.watchedSince(30 * SECOND);
		assertThat(this.history.isComplete(14 * SECOND, 31 * SECOND), is(false));
		assertThat(this.history.knownMillis(31 * SECOND), is(1000L));
		assertThat(this.history.isComplete(14 * SECOND, 44 * SECOND), is(true));
	}

	@Test
	void vmThatMissedATimeLearnsFromOneThatDidNot() {
		serve(1, "v1");
		this.history.watchedSince(30 * SECOND);
		this.history.merge(List.of(new ServedVersion("llm", "v2", 4000)), 20_000, 31 * SECOND);
		this.history.watchedSince(30 * SECOND);
		assertThat(this.history.isComplete(14 * SECOND, 31 * SECOND), is(true));
		assertThat(versions(14, 31), contains("v1", "v2"));
		this.history.watchedSince(32 * SECOND);
		assertThat(this.history.isComplete(14 * SECOND, 33 * SECOND), is(false));
	}

	@Test
	void timeBeyondTheMemoryIsNeverComplete() {
		long now = 2 * VersionHistory.MEMORY_NANOS;
		assertThat(this.history.isComplete(VersionHistory.MEMORY_NANOS, now), is(true));
		assertThat(this.history.isComplete(VersionHistory.MEMORY_NANOS + 1, now), is(false));
	}

	@Test
	void serviceWithOneVersionIsNotReported() {
		serve(1, "v1");
		assertThat(this.history.reports(2 * SECOND), is(empty()));
		serve(3, "v1", "v2");
		assertThat(this.history.reports(4 * SECOND),
				is(List.of(new ServedVersion("llm", "v1", 0), new ServedVersion("llm", "v2", 0))));
	}

}
