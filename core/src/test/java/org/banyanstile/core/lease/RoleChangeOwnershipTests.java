package org.banyanstile.core.lease;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

/**
 * Tests for {@link RoleChangeOwnership}.
 *
 * @author banyanstile contributors
 */
class RoleChangeOwnershipTests {

	private static final long MILLI = 1_000_000;

	/**
	 * Time that must separate orders of two owners.
	 */
	private static final long HANDOVER_NANOS = 3000 * MILLI;

	@Test
	void missingRowMayBeWrittenAtOnce() {
		RoleChangeOwnership ownership = RoleChangeOwnership.of("a");
		ownership.read(0, "", 0);
		assertThat(ownership.mayWrite(0), is(true));
	}

	@Test
	void rowOfAnotherVmIsTakenOverOnlyAfterFiveSecondsWithoutAChange() {
		RoleChangeOwnership ownership = RoleChangeOwnership.of("a");
		ownership.read(5, "b", 0);
		assertThat(ownership.mayWrite(4999 * MILLI), is(false));
		ownership.read(6, "b", 4999 * MILLI);
		assertThat(ownership.mayWrite(5001 * MILLI), is(false));
		assertThat(ownership.mayWrite(9999 * MILLI), is(true));
	}

	@Test
	void tokenExpiresUnlessTheRowIsWritten() {
		RoleChangeOwnership ownership = RoleChangeOwnership.of("a");
		ownership.written(7, 0);
		assertThat(ownership.token(999 * MILLI), is(7L));
		assertThat(ownership.token(1000 * MILLI), is(-1L));
	}

	@Test
	void ordersOfTwoOwnersNeverInterleave() {
		for (int seed = 0; seed < 2000; seed++) {
			List<long[]> orders = simulate(new Random(seed));
			for (int i = 1; i < orders.size(); i++) {
				long[] before = orders.get(i - 1);
				long[] after = orders.get(i);
				if (before[0] != after[0]) {
					assertThat("pause, seed " + seed, after[2] - before[2], is(greaterThan(HANDOVER_NANOS)));
					assertThat("token, seed " + seed, after[1], is(greaterThan(before[1])));
				}
			}
		}
	}

	// Three VMs that all try to become the owner read and write the row at random times,
	// and responses of the store take up to 900 ms.
	private static List<long[]> simulate(Random random) {
		List<long[]> orders = new ArrayList<>();
		RoleChangeOwnership[] ownerships = { RoleChangeOwnership.of("vm0"), RoleChangeOwnership.of("vm1"),
				RoleChangeOwnership.of("vm2") };
		long version = 0;
		String owner = "";
		long now = 0;
		for (int step = 0; step < 120; step++) {
			now += random.nextInt(700) * MILLI;
			int i = random.nextInt(ownerships.length);
			RoleChangeOwnership ownership = ownerships[i];
			ownership.read(version, owner, now);
			if (!ownership.mayWrite(now)) {
				continue;
			}
			long began = now;
			if (ownership.expectedVersion() != version) {
				ownership.lost();
				continue;
			}
			version += 1 + random.nextInt(3);
			owner = "vm" + i;
			now += random.nextInt(900) * MILLI;
			ownership.written(version, began);
			long token = ownership.token(now);
			if (token >= 0) {
				orders.add(new long[] { i, token, now });
			}
		}
		return orders;
	}

}
