package org.banyanstile.core.stream;

import java.util.Set;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.anEmptyMap;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.nullValue;

/**
 * Tests for {@link StreamOrigins}.
 *
 * @author banyanstile contributors
 */
class StreamOriginsTests {

	private static final StreamOrigin FIRST = new StreamOrigin("llm", "v1");

	private static final StreamOrigin SECOND = new StreamOrigin("llm", "v2");

	private final StreamOrigins origins = StreamOrigins.create();

	@Test
	void streamsOfServicesWithSeveralVersionsAreWrittenOnce() {
		this.origins.began("a", FIRST, 0);
		this.origins.began("b", new StreamOrigin("other", "v1"), 0);
		this.origins.began("c", SECOND, 0);
		assertThat(this.origins.unwritten(Set.of(), 10), is(anEmptyMap()));
		assertThat(this.origins.unwritten(Set.of("llm"), 10).keySet(), contains("a", "c"));
		assertThat(this.origins.unwritten(Set.of("llm"), 1).keySet(), contains("a"));
		this.origins.written(Set.of("a"));
		assertThat(this.origins.unwritten(Set.of("llm"), 10).keySet(), contains("c"));
	}

	@Test
	void completeStreamNeedNotBeWrittenAndIsStillKnown() {
		this.origins.began("a", FIRST, 0);
		this.origins.completed("a");
		assertThat(this.origins.unwritten(Set.of("llm"), 10), is(anEmptyMap()));
		assertThat(this.origins.find("a"), is(FIRST));
	}

	@Test
	void originThatWasReadIsNeitherWrittenNorRemovedAgain() {
		this.origins.read("a", FIRST, 0);
		assertThat(this.origins.unwritten(Set.of("llm"), 10), is(anEmptyMap()));
		assertThat(this.origins.expire(10, StreamOrigins.LIFETIME_NANOS), is(empty()));
		assertThat(this.origins.find("a"), is(nullValue()));
	}

	@Test
	void originsExpireInTheStoreAsWell() {
		this.origins.began("a", FIRST, 0);
		this.origins.began("b", FIRST, 1);
		this.origins.written(Set.of("a", "b"));
		assertThat(this.origins.expire(10, StreamOrigins.LIFETIME_NANOS), contains("a"));
		assertThat(this.origins.find("b"), is(FIRST));
	}

	@Test
	void numberOfOriginsIsBounded() {
		for (int i = 0; i <= StreamOrigins.MAX_ORIGINS; i++) {
			this.origins.began("a" + i, FIRST, i);
		}
		assertThat(this.origins.find("a0"), is(nullValue()));
		assertThat(this.origins.find("a" + StreamOrigins.MAX_ORIGINS), is(FIRST));
	}

}
