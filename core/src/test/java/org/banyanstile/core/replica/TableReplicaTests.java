package org.banyanstile.core.replica;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

/**
 * Tests for {@link TableReplica}.
 *
 * @author banyanstile contributors
 */
class TableReplicaTests {

	private final TableReplica replica = new TableReplica();

	private static ReplicaRow row(String key, long version) {
		return new ReplicaRow(key, version, new byte[] { (byte) version });
	}

	private static ReplicaRow removed(String key, long version) {
		return new ReplicaRow(key, version, null);
	}

	@Test
	void olderRowNeverReplacesNewerOne() {
		this.replica.replace(List.of(row("config", 7)), 7, 100);
		assertThat(this.replica.apply(List.of(row("config", 5)), 4, 5, 90), is(empty()));
		assertThat(this.replica.rows().iterator().next().version(), is(7L));
	}

	@Test
	void removedRowIsNotRestoredByAPeerThatLags() {
		this.replica.replace(List.of(row("a", 3)), 3, 100);
		this.replica.apply(List.of(removed("a", 9)), 3, 9, 120);
		this.replica.apply(List.of(row("a", 3)), 0, 3, 100);
		assertThat(this.replica.rows(), is(empty()));
	}

	@Test
	void changesWithAGapDoNotAdvanceTheCompleteVersion() {
		this.replica.replace(List.of(), 10, 100);
		this.replica.apply(List.of(row("b", 30)), 20, 30, 200);
		assertThat(this.replica.complete(), is(10L));
	}

	@Test
	void wholeTableRemovesWhatItDoesNotHold() {
		this.replica.replace(List.of(row("a", 1), row("b", 2)), 2, 100);
		assertThat(this.replica.replace(List.of(row("b", 2)), 5, 110), contains("a"));
	}

	@Test
	void copiesThatExchangeChangesInAnyOrderAgreeWithTheStore() {
		for (int seed = 0; seed < 300; seed++) {
			Random random = new Random(seed);
			List<ReplicaRow> history = history(random);
			List<TableReplica> copies = List.of(new TableReplica(), new TableReplica(), new TableReplica());
			copies.forEach((copy) -> copy.replace(List.of(), 0, 0));
			for (int step = 0; step < 60; step++) {
				exchange(random, copies, history);
			}
			copies.forEach((copy) -> copy.apply(after(history, copy.complete()), copy.complete(), history.size(),
					history.size()));
			Map<String, Long> expected = present(history);
			for (TableReplica copy : copies) {
				Map<String, Long> actual = new HashMap<>();
				copy.rows().forEach((row) -> actual.put(row.key(), row.version()));
				assertThat("seed " + seed, actual, is(expected));
			}
		}
	}

	private static List<ReplicaRow> history(Random random) {
		List<ReplicaRow> history = new ArrayList<>();
		for (int version = 1; version <= 60; version++) {
			String key = "k" + random.nextInt(8);
			history.add((random.nextInt(3) == 0) ? removed(key, version) : row(key, version));
		}
		return history;
	}

	private static void exchange(Random random, List<TableReplica> copies, List<ReplicaRow> history) {
		TableReplica to = copies.get(random.nextInt(copies.size()));
		if (random.nextInt(4) == 0) {
			int upTo = Math.max((int) to.complete(), random.nextInt(history.size() + 1));
			List<ReplicaRow> part = new ArrayList<>(after(history.subList(0, upTo), to.complete()));
			Collections.shuffle(part, random);
			to.apply(part, to.complete(), upTo, upTo);
			return;
		}
		TableReplica from = copies.get(random.nextInt(copies.size()));
		long after = to.complete();
		if (from.retainsChangesAfter(after)) {
			to.apply(from.changesAfter(after), after, from.complete(), from.storeMillis());
		}
	}

	private static List<ReplicaRow> after(List<ReplicaRow> history, long version) {
		return history.stream().filter((row) -> row.version() > version).toList();
	}

	private static Map<String, Long> present(List<ReplicaRow> history) {
		Map<String, Long> rows = new HashMap<>();
		for (ReplicaRow row : history) {
			if (row.value() != null) {
				rows.put(row.key(), row.version());
			}
			else {
				rows.remove(row.key());
			}
		}
		return rows;
	}

}
