package org.banyanstile.core.attempt;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/**
 * Tests for {@link RefusalStatus}.
 *
 * @author banyanstile contributors
 */
class RefusalStatusTests {

	@ParameterizedTest
	@ValueSource(ints = { 400, 404, 409, 421, 429, 499, 503 })
	void refusalProvesThatTheRequestDidNotRun(int status) {
		assertThat(RefusalStatus.isProof(status), is(true));
	}

	@ParameterizedTest
	@ValueSource(ints = { 500, 501, 502, 504, 599 })
	void otherServerErrorsProveNothing(int status) {
		assertThat(RefusalStatus.isProof(status), is(false));
	}

	@Test
	void statusesThatInviteTheCallerToSendAgainArePromises() {
		assertThat(RefusalStatus.isPromise(408), is(true));
		assertThat(RefusalStatus.isPromise(429), is(true));
		assertThat(RefusalStatus.isPromise(503), is(true));
		assertThat(RefusalStatus.isPromise(500), is(false));
		assertThat(RefusalStatus.isPromise(504), is(false));
	}

}
