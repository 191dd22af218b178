package org.banyanstile.server.router;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

/**
 * Tests for {@link FirstRequests}.
 *
 * @author banyanstile contributors
 */
class FirstRequestsTests {

	private static final long SECOND = 1_000_000_000;

	private final List<Long> waits = new ArrayList<>();

	private final FirstRequests requests = FirstRequests.create(this.waits::add);

	@Test
	void waitOfAnEndpointThatJoinsIsMeasuredOnce() {
		this.requests.update(List.of("i-1"), 0);
		this.requests.update(List.of("i-1", "i-2"), SECOND);
		assertThat(this.requests.waiting(), is(1));
		this.requests.sent("i-2", 3 * SECOND);
		this.requests.sent("i-2", 4 * SECOND);
		assertThat(this.waits, contains(2000L));
		assertThat(this.requests.waiting(), is(0));
	}

	@Test
	void endpointsOfTheStartAndThoseThatLeftAreNotMeasured() {
		this.requests.update(List.of(), 0);
		this.requests.update(List.of("i-1"), 0);
		this.requests.update(List.of("i-1", "i-2"), SECOND);
		this.requests.update(List.of("i-1"), 2 * SECOND);
		this.requests.sent("i-1", 3 * SECOND);
		this.requests.sent("i-2", 3 * SECOND);
		assertThat(this.waits, is(empty()));
	}

}
