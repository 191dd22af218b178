package org.banyanstile.core.attempt;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

class ConnectionReuseTests {

	@Test
	void requestThatMustRunOnceNeedsANewConnection() {
		assertThat(ConnectionReuse.isAllowed(true, false, true), is(false));
	}

	@Test
	void requestWithoutAnIdNeedsANewConnection() {
		assertThat(ConnectionReuse.isAllowed(false, true, true), is(false));
	}

	@Test
	void secondAttemptNeedsANewConnection() {
		assertThat(ConnectionReuse.isAllowed(true, true, false), is(false));
		assertThat(ConnectionReuse.isAllowed(true, true, true), is(true));
	}

}
