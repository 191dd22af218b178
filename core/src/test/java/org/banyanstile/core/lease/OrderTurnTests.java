package org.banyanstile.core.lease;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

/**
 * Tests for {@link OrderTurn}.
 *
 * @author banyanstile contributors
 */
class OrderTurnTests {

	private static final long MILLI = 1_000_000;

	/**
	 * Time within which engines may not get orders of two holders by turns.
	 */
	private static final long NO_TURNS = 3000 * MILLI;

	@Test
	void missingRowMayBeWrittenAtOnce() {
		OrderTurn turn = OrderTurn.of("a");
		turn.read(0, "", 0);
		assertThat(turn.mayWrite(0), is(true));
	}

	@Test
	void rowOfAnotherVmIsTakenOnlyAfterItStoodStill() {
		OrderTurn turn = OrderTurn.of("a");
		turn.read(5, "b", 0);
		assertThat(turn.mayWrite(4999 * MILLI), is(false));
		turn.read(6, "b", 4999 * MILLI);
		assertThat(turn.mayWrite(5001 * MILLI), is(false));
		assertThat(turn.mayWrite(9999 * MILLI), is(true));
	}

	@Test
	void tokenLapsesUnlessItIsConfirmed() {
		OrderTurn turn = OrderTurn.of("a");
		turn.written(7, 0);
		assertThat(turn.token(999 * MILLI), is(7L));
		assertThat(turn.token(1000 * MILLI), is(-1L));
	}

	@Test
	void ordersOfTwoHoldersNeverInterleave() {
		for (int seed = 0; seed < 2000; seed++) {
			List<long[]> orders = play(new Random(seed));
			for (int i = 1; i < orders.size(); i++) {
				long[] before = orders.get(i - 1);
				long[] after = orders.get(i);
				if (before[0] != after[0]) {
					assertThat("pause, seed " + seed, after[2] - before[2], is(greaterThan(NO_TURNS)));
					assertThat("token, seed " + seed, after[1], is(greaterThan(before[1])));
				}
			}
		}
	}

	// Three VMs that all believe to be the first read and write the row at random times,
	// and answers of the store take up to 900 ms.
	private static List<long[]> play(Random random) {
		List<long[]> orders = new ArrayList<>();
		OrderTurn[] turns = { OrderTurn.of("vm0"), OrderTurn.of("vm1"), OrderTurn.of("vm2") };
		long version = 0;
		String owner = "";
		long now = 0;
		for (int step = 0; step < 120; step++) {
			now += random.nextInt(700) * MILLI;
			int i = random.nextInt(turns.length);
			OrderTurn turn = turns[i];
			turn.read(version, owner, now);
			if (!turn.mayWrite(now)) {
				continue;
			}
			long began = now;
			if (turn.expectedVersion() != version) {
				turn.lost();
				continue;
			}
			version += 1 + random.nextInt(3);
			owner = "vm" + i;
			now += random.nextInt(900) * MILLI;
			turn.written(version, began);
			long token = turn.token(now);
			if (token >= 0) {
				orders.add(new long[] { i, token, now });
			}
		}
		return orders;
	}

}
