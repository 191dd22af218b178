package org.banyanstile.core.limit;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

/**
 * Tests for {@link SharedQuota}.
 *
 * @author banyanstile contributors
 */
class SharedQuotaTests {

	private static final long MILLI = 1_000_000;

	private static final double RATE = 50_000;

	private static final double BURST = 50_000;

	/**
	 * Tokens that the users tolerate in a window of eight seconds: a tenth and 140,000
	 * tokens above the limit.
	 */
	private static final double MAX_TOKENS_PER_WINDOW = (RATE * 8 + BURST) * 1.1 + 140_000;

	private static final long WINDOW_MILLIS = 8000;

	private static final int VMS = 8;

	@Test
	void emptyBucketFillsAtTheRate() {
		SharedQuota quota = SharedQuota.empty(RATE, BURST, 0);
		assertThat(quota.take(5000, 0), is(greaterThan(0L)));
		assertThat(quota.take(5000, 100 * MILLI), is(0L));
	}

	@Test
	void refusalNamesTheTimeAfterWhichTheRequestPasses() {
		SharedQuota quota = SharedQuota.empty(RATE, BURST, 0);
		long wait = quota.take(10_000, 0);
		assertThat(quota.take(10_000, wait + 1), is(0L));
	}

	@Test
	void registeredVmWithoutReportsKeepsItsShareOfTheBucket() {
		SharedQuota quota = SharedQuota.empty(RATE, BURST, 0);
		quota.setPeers(Set.of("vm1"), 0);
		assertThat(quota.take((long) BURST / 2, 10_000 * MILLI), is(0L));
		assertThat(quota.take((long) BURST / 4, 10_000 * MILLI), is(greaterThan(0L)));
	}

	@Test
	void vmThatLeftTheFleetKeepsNoShare() {
		SharedQuota quota = SharedQuota.empty(RATE, BURST, 0);
		quota.setPeers(Set.of("vm1"), 0);
		quota.setPeers(Set.of(), 5000 * MILLI);
		assertThat(quota.take((long) BURST, 10_000 * MILLI), is(0L));
	}

	@Test
	void smallRequestPassesAfterALargeOneHasEmptiedTheBucket() {
		SharedQuota quota = SharedQuota.empty(RATE, BURST, 0);
		assertThat(quota.take(50_000, 1000 * MILLI), is(0L));
		assertThat(quota.take(200, 1000 * MILLI), is(0L));
		assertThat(quota.take(5000, 1000 * MILLI), is(greaterThan(0L)));
	}

	@Test
	void useOfAnotherVmIsSubtracted() {
		SharedQuota quota = SharedQuota.empty(RATE, BURST, 0);
		quota.report("other", 1, 0, 500 * MILLI);
		quota.report("other", 1, 45_000, 1000 * MILLI);
		assertThat(quota.take(10_000, 1000 * MILLI), is(greaterThan(0L)));
	}

	@Test
	void restartOfAnotherVmGivesNothingBack() {
		SharedQuota quota = SharedQuota.empty(RATE, BURST, 0);
		quota.report("other", 1, 0, 500 * MILLI);
		quota.report("other", 1, 30_000, 1000 * MILLI);
		quota.report("other", 2, 0, 1000 * MILLI);
		assertThat(quota.take(21_000, 1000 * MILLI), is(greaterThan(0L)));
	}

	@Test
	void fleetStaysWithinTheToleratedExcessUnderOverloadAndPartitions() {
		for (int seed = 0; seed < 60; seed++) {
			assertThat("seed " + seed, worstWindow(new Random(seed), true),
					is(lessThanOrEqualTo(MAX_TOKENS_PER_WINDOW)));
		}
	}

	@Test
	void fleetUsesMostOfTheLimitWhenAllReportsArrive() {
		double worst = worstWindow(new Random(1), false);
		assertThat(worst, is(greaterThan(RATE * 8 * 0.9)));
		assertThat(worst, is(lessThan(MAX_TOKENS_PER_WINDOW)));
	}

	// Every VM receives more requests than the whole limit allows. Reports take a gossip
	// round, and a part of the VMs is partitioned from the rest for some seconds.
	private static double worstWindow(Random random, boolean partitions) {
		List<SharedQuota> vms = new ArrayList<>();
		for (int i = 0; i < VMS; i++) {
			vms.add(SharedQuota.empty(RATE, BURST, 0));
		}
		int partitionSize = 1 + random.nextInt(VMS - 1);
		long from = 3000 + random.nextInt(5000);
		long to = from + 3000 + random.nextInt(9000);
		double[] admitted = new double[20_000];
		for (int millis = 0; millis < admitted.length; millis += 10) {
			long now = millis * MILLI;
			SharedQuota vm = vms.get(random.nextInt(VMS));
			long tokens = 3000 + random.nextInt(4000);
			if (vm.take(tokens, now) == 0) {
				admitted[millis] += tokens;
			}
			if (millis % 250 == 0) {
				report(vms, now, partitions && millis >= from && millis < to, partitionSize);
			}
		}
		return worst(admitted);
	}

	private static void report(List<SharedQuota> vms, long now, boolean partitioned, int partitionSize) {
		for (int i = 0; i < VMS; i++) {
			for (int j = 0; j < VMS; j++) {
				if (i != j && !(partitioned && (i < partitionSize) != (j < partitionSize))) {
					vms.get(j).report("vm" + i, 1, vms.get(i).used(), now);
				}
			}
		}
	}

	private static double worst(double[] admitted) {
		double sum = 0;
		double worst = 0;
		for (int i = 0; i < admitted.length; i++) {
			sum += admitted[i] - ((i >= WINDOW_MILLIS) ? admitted[i - (int) WINDOW_MILLIS] : 0);
			worst = Math.max(worst, sum);
		}
		return worst;
	}

}
