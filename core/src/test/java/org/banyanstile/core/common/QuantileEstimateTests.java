package org.banyanstile.core.common;

import java.util.Random;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

/**
 * Tests for {@link QuantileEstimate}.
 *
 * @author banyanstile contributors
 */
class QuantileEstimateTests {

	private static final long SEED = 7;

	private final QuantileEstimate estimate = QuantileEstimate.of(0.95);

	@Test
	void estimateWithoutSamplesIsInfinite() {
		assertThat(this.estimate.get(), is(Double.POSITIVE_INFINITY));
	}

	@Test
	void estimateConvergesToTheQuantile() {
		Random random = new Random(SEED);
		for (int i = 0; i < 5000; i++) {
			this.estimate.add(1000 * random.nextDouble());
		}
		assertThat("seed " + SEED, this.estimate.get(), is(closeTo(950, 100)));
	}

	@Test
	void estimateFollowsAnIncreaseWithinSomeTenSamples() {
		for (int i = 0; i < 1000; i++) {
			this.estimate.add(100);
		}
		for (int i = 0; i < 40; i++) {
			this.estimate.add(500);
		}
		assertThat(this.estimate.get(), is(greaterThan(400.0)));
	}

}
