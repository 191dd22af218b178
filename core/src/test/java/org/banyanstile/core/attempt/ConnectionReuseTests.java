package org.banyanstile.core.attempt;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

class ConnectionReuseTests {

	@Test
	void requestThatMustRunOnceNeedsANewConnection() {
		assertThat(ConnectionReuse.isAllowed(false, false), is(false));
	}

	@Test
	void secondAttemptAtAnAddressNeedsANewConnection() {
		assertThat(ConnectionReuse.isAllowed(true, true), is(false));
		assertThat(ConnectionReuse.isAllowed(true, false), is(true));
	}

}
