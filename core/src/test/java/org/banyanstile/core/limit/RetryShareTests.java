package org.banyanstile.core.limit;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

/**
 * Tests for {@link RetryShare}.
 *
 * @author banyanstile contributors
 */
class RetryShareTests {

	private static final long SECOND = 1_000_000_000;

	@ParameterizedTest
	@ValueSource(ints = { 8, 60, 1100 })
	void sumOverVmsStaysWithinTheBudgetWithoutCommunication(int vms) {
		List<RetryShare> shares = new ArrayList<>();
		for (int i = 0; i < vms; i++) {
			shares.add(RetryShare.create(10 * SECOND));
		}
		int retries = 0;
		for (int i = 0; i < 400; i++) {
			RetryShare share = shares.get(i % vms);
			long now = i * SECOND / 50;
			share.request(now);
			for (int k = 0; k < 5; k++) {
				retries += share.tryRetry(0.2, 56, vms, now) ? 1 : 0;
			}
		}
		assertThat((double) retries, is(lessThanOrEqualTo(0.2 * 400 + 56)));
	}

	@Test
	void oneVmMayRetryAtOnceFromTheFixedExtra() {
		assertThat(RetryShare.create(10 * SECOND).tryRetry(0.2, 56, 8, 0), is(true));
	}

	@Test
	void retriesOfAnEarlierWindowDoNotCount() {
		RetryShare share = RetryShare.create(10 * SECOND);
		assertThat(share.tryRetry(0, 2, 1, 0), is(true));
		assertThat(share.tryRetry(0, 2, 1, SECOND), is(false));
		assertThat(share.tryRetry(0, 2, 1, 11 * SECOND), is(true));
	}

}
