package org.banyanstile.emulator.platform;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

import org.banyanstile.core.store.Condition;
import org.banyanstile.core.store.Transaction;
import org.banyanstile.core.store.TransactionResult;
import org.banyanstile.core.store.Write;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;

/**
 * Tests for the logic of the platform stand-in.
 *
 * @author banyanstile contributors
 */
class PlatformLogicTests {

	private final Table table = new Table();

	private TransactionResult put(String key, long version, String value) {
		return this.table
			.transact(new Transaction("op", List.of(new Condition(key, version)), List.of(new Write(key, value))));
	}

	@Test
	void aFailedConditionLeavesAllRowsUnchanged() {
		put("a", 0, "1");
		Transaction both = new Transaction("op", List.of(new Condition("b", 0), new Condition("a", 0)),
				List.of(new Write("b", "2")));
		TransactionResult result = this.table.transact(both);
		assertThat(result, is(instanceOf(TransactionResult.Conflict.class)));
		assertThat(((TransactionResult.Conflict) result).current(), hasSize(1));
		assertThat(this.table.read(List.of("b")), is(empty()));
	}

	@Test
	void aDeletedRowNeverComesBackWithAnOldVersion() {
		put("a", 0, "1");
		long first = this.table.read(List.of("a")).get(0).version();
		put("a", first, null);
		put("a", 0, "1");
		assertThat(this.table.read(List.of("a")).get(0).version(), is(greaterThan(first)));
	}

	@Test
	void scansInKeyOrderUpToTheLimit() {
		put("vm/2", 0, "2");
		put("vm/1", 0, "1");
		put("vn/1", 0, "3");
		assertThat(this.table.scan("vm/", 10).stream().map((row) -> row.key()).toList(), contains("vm/1", "vm/2"));
		assertThat(this.table.scan("vm/", 1), hasSize(1));
	}

	@Test
	void limitsCallsToTheRate() {
		RateLimit limit = new RateLimit(400, 0);
		int taken = 0;
		for (int millis = 0; millis < 2000; millis++) {
			for (int i = 0; i < 5; i++) {
				taken += limit.tryAcquire(TimeUnit.MILLISECONDS.toNanos(millis)) ? 1 : 0;
			}
		}
		assertThat(taken, is(equalTo(100 + 799)));
	}

	@Test
	void theSameSeedLosesTheSameReplies() {
		List<List<Boolean>> runs = new ArrayList<>();
		for (int run = 0; run < 2; run++) {
			TableFaults faults = new TableFaults();
			faults.set(TableFaults.Mode.LOSE_REPLIES, 0, 0.5, 7);
			List<Boolean> lost = new ArrayList<>();
			for (int i = 0; i < 100; i++) {
				lost.add(faults.next().replyLost());
			}
			runs.add(lost);
		}
		assertThat(runs.get(0), is(equalTo(runs.get(1))));
		assertThat(runs.get(0).stream().filter((lost) -> lost).count(), is(greaterThan(20L)));
	}

	@Test
	void theListOfVmsShowsEachChangeAfterTheLag() {
		LaggingVmList list = new LaggingVmList(10);
		list.put(new LaggingVmList.Vm("a", "ip:1", "live"), 0);
		list.put(new LaggingVmList.Vm("a", "ip:1", "leaving"), 5);
		list.put(new LaggingVmList.Vm("a", "ip:1", "gone"), 30);
		assertThat(list.visible(9), is(empty()));
		assertThat(list.visible(10).get(0).state(), is("live"));
		assertThat(list.visible(15).get(0).state(), is("leaving"));
		assertThat(list.visible(39), hasSize(1));
		assertThat(list.visible(40), is(empty()));
	}

}
