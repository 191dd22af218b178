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
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;

/**
 * Tests for {@link TableReplica}.
 *
 * @author banyanstile contributors
 */
class TableReplicaTests {

	/**
	 * Values are numbers, of which the greater one is newer.
	 */
	private static final ValueOrder BY_NUMBER = (key, one, other) -> one[0] - other[0];

	private final TableReplica replica = TableReplica.create();

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

	// Guards against a removed endpoint that stays in use since a VM that has just
	// started
	// passed on later changes without its removal.
	@Test
	void copyThatReadTheWholeTableDoesNotClaimToKnowEarlierRemovals() {
		TableReplica started = TableReplica.create();
		started.replace(List.of(row("b", 4)), 9, 120);
		assertThat(started.retainsChangesAfter(8), is(false));
		assertThat(started.retainsChangesAfter(9), is(true));
		this.replica.replace(List.of(row("a", 3)), 3, 100);
		passOn(started, this.replica);
		assertThat(value(this.replica, "a"), is(-1));
		assertThat(value(this.replica, "b"), is(4));
	}

	@Test
	void copyThatReadTheWholeTableAnewDoesNotKnowWhatWasAddedAndRemovedMeanwhile() {
		this.replica.replace(List.of(), 2, 100);
		TableReplica behind = TableReplica.create();
		behind.replace(List.of(row("a", 5)), 5, 110);
		this.replica.replace(List.of(), 9, 120);
		passOn(this.replica, behind);
		assertThat(behind.rows(), is(empty()));
	}

	@Test
	void copiesThatStartAtAnyTimeAgreeWithTheStore() {
		for (int seed = 0; seed < 300; seed++) {
			Random random = new Random(seed);
			List<ReplicaRow> history = history(random);
			List<TableReplica> copies = new ArrayList<>();
			for (int now = 0; now <= history.size(); now++) {
				List<ReplicaRow> written = history.subList(0, now);
				if (random.nextInt(6) == 0) {
					copies.add(TableReplica.create());
				}
				if (!copies.isEmpty()) {
					readOrPassOn(random, copies, written);
				}
			}
			copies.add(TableReplica.create());
			TableReplica last = copies.get(copies.size() - 1);
			readWhole(last, history);
			for (TableReplica copy : copies) {
				passOn(last, copy);
				assertThat("seed " + seed, versions(copy), is(present(history)));
			}
		}
	}

	private static void readOrPassOn(Random random, List<TableReplica> copies, List<ReplicaRow> written) {
		TableReplica to = copies.get(random.nextInt(copies.size()));
		if (to.complete() < 0 || random.nextInt(10) == 0) {
			readWhole(to, written);
		}
		else if (random.nextInt(4) == 0) {
			to.apply(after(written, to.complete()), to.complete(), written.size(), written.size());
		}
		else {
			passOn(copies.get(random.nextInt(copies.size())), to);
		}
	}

	private static void readWhole(TableReplica copy, List<ReplicaRow> written) {
		Map<String, ReplicaRow> rows = new HashMap<>();
		written.forEach((row) -> rows.put(row.key(), row));
		rows.values().removeIf((row) -> row.value() == null);
		copy.replace(rows.values(), written.size(), written.size());
	}

	// As one VM passes on to another what that one lacks.
	private static void passOn(TableReplica from, TableReplica to) {
		long after = to.complete();
		if (from.complete() <= after) {
			return;
		}
		if (from.retainsChangesAfter(after)) {
			to.apply(from.changesAfter(after), after, from.complete(), from.storeMillis());
		}
		else {
			to.replace(from.storeRows(), from.complete(), from.storeMillis());
		}
	}

	private static Map<String, Long> versions(TableReplica copy) {
		Map<String, Long> versions = new HashMap<>();
		copy.rows().forEach((row) -> versions.put(row.key(), row.version()));
		return versions;
	}

	@Test
	void copiesThatExchangeChangesInAnyOrderAgreeWithTheStore() {
		for (int seed = 0; seed < 300; seed++) {
			Random random = new Random(seed);
			List<ReplicaRow> history = history(random);
			List<TableReplica> copies = List.of(TableReplica.create(), TableReplica.create(), TableReplica.create());
			copies.forEach((copy) -> copy.replace(List.of(), 0, 0));
			for (int step = 0; step < 60; step++) {
				exchange(random, copies, history);
			}
			copies.forEach((copy) -> copy.apply(after(history, copy.complete()), copy.complete(), history.size(),
					history.size()));
			Map<String, Long> expected = present(history);
			for (TableReplica copy : copies) {
				assertThat("seed " + seed, versions(copy), is(expected));
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

	private static ReplicaRow row(String key, long era, int number, int value) {
		return new ReplicaRow(key, StoreVersion.of(era, number), new byte[] { (byte) value });
	}

	private static int value(TableReplica copy, String key) {
		ReplicaRow row = copy.row(key);
		return (row != null && row.value() != null) ? row.value()[0] : -1;
	}

	@Test
	void changeUnderAVersionThatWasGivenOutBeforeIsApplied() {
		this.replica.replace(List.of(row("a", 1, 30, 1)), StoreVersion.of(1, 30), 100);
		this.replica.replace(List.of(row("a", 2, 20, 1)), StoreVersion.of(2, 20), 110);
		this.replica.apply(List.of(row("a", 2, 25, 2)), StoreVersion.of(2, 20), StoreVersion.of(2, 25), 120);
		assertThat(value(this.replica, "a"), is(2));
		assertThat(this.replica.complete(), is(StoreVersion.of(2, 25)));
	}

	@Test
	void rowThatTheStoreLacksAfterItsReturnStaysUntilItIsDropped() {
		this.replica.replace(List.of(row("a", 1, 30, 1), row("b", 1, 31, 1)), StoreVersion.of(1, 31), 100);
		this.replica.replace(List.of(row("a", 2, 30, 1)), StoreVersion.of(2, 30), 110);
		this.replica.replace(List.of(row("a", 2, 30, 1)), StoreVersion.of(2, 31), 120);
		assertThat(value(this.replica, "b"), is(1));
		assertThat(this.replica.dropUnconfirmed(), contains("b"));
		assertThat(value(this.replica, "b"), is(-1));
	}

	@Test
	void rowThatIsWrittenAgainIsNotDropped() {
		this.replica.replace(List.of(row("b", 1, 31, 1)), StoreVersion.of(1, 31), 100);
		this.replica.replace(List.of(), StoreVersion.of(2, 30), 110);
		this.replica.apply(List.of(row("b", 2, 31, 1)), StoreVersion.of(2, 30), StoreVersion.of(2, 31), 120);
		assertThat(this.replica.dropUnconfirmed(), is(empty()));
		assertThat(value(this.replica, "b"), is(1));
	}

	@Test
	void removedRowThatTheCopyHoldsIsWithheldUntilTheGracePeriodEnds() {
		this.replica.replace(List.of(row("a", 1, 20, 1)), StoreVersion.of(1, 20), 100);
		this.replica.apply(List.of(removed("a", StoreVersion.of(1, 21))), StoreVersion.of(1, 20),
				StoreVersion.of(1, 21), 110);
		assertThat(this.replica.replace(List.of(row("a", 2, 20, 1)), StoreVersion.of(2, 20), 120), is(empty()));
		assertThat(value(this.replica, "a"), is(-1));
		assertThat(this.replica.storeRows().size(), is(1));
		assertThat(this.replica.applyWithheld(), contains("a"));
		assertThat(value(this.replica, "a"), is(1));
	}

	@Test
	void withheldRowThatTheStoreRemovesStaysRemoved() {
		this.replica.replace(List.of(row("a", 1, 20, 1)), StoreVersion.of(1, 20), 100);
		this.replica.replace(List.of(), StoreVersion.of(1, 21), 110);
		this.replica.replace(List.of(row("a", 2, 20, 1)), StoreVersion.of(2, 20), 120);
		this.replica.replace(List.of(), StoreVersion.of(2, 25), 130);
		assertThat(this.replica.applyWithheld(), is(empty()));
		assertThat(this.replica.rows(), is(empty()));
	}

	@Test
	void newerValueStaysInForceUnderTheVersionOfTheOlderOne() {
		TableReplica ordered = TableReplica.create(BY_NUMBER);
		ordered.replace(List.of(row("config", 1, 33, 15)), StoreVersion.of(1, 33), 100);
		ordered.replace(List.of(row("config", 2, 30, 9)), StoreVersion.of(2, 30), 110);
		assertThat(value(ordered, "config"), is(15));
		TableReplica newcomer = TableReplica.create(BY_NUMBER);
		newcomer.replace(List.of(row("config", 2, 30, 9)), StoreVersion.of(2, 30), 110);
		newcomer.apply(List.copyOf(ordered.rows()), StoreVersion.of(2, 30), StoreVersion.of(2, 30), 110);
		assertThat(value(newcomer, "config"), is(15));
	}

	@Test
	void rowsOfAnEarlierEraThatArriveLateHaveNoEffect() {
		this.replica.replace(List.of(row("a", 2, 5, 1)), StoreVersion.of(2, 5), 100);
		this.replica.apply(List.of(row("b", 1, 40, 1)), StoreVersion.of(1, 3), StoreVersion.of(1, 40), 200);
		this.replica.replace(List.of(row("a", 1, 40, 2), row("b", 1, 40, 1)), StoreVersion.of(1, 40), 200);
		assertThat(value(this.replica, "a"), is(1));
		assertThat(value(this.replica, "b"), is(-1));
		assertThat(this.replica.storeMillis(), is(100L));
	}

	@Test
	void copiesAgreeWithAStoreThatReturnsFromCopiesAgainAndAgain() {
		for (int seed = 0; seed < 300; seed++) {
			Random random = new Random(seed);
			ReturningStore store = new ReturningStore();
			List<TableReplica> copies = List.of(TableReplica.create(BY_NUMBER), TableReplica.create(BY_NUMBER),
					TableReplica.create(BY_NUMBER));
			copies.forEach((copy) -> copy.replace(store.all(), store.version(), 0));
			for (int step = 1; step <= 80; step++) {
				store.change(random);
				int latest = value(copies.get(0), "config");
				TableReplica to = copies.get(random.nextInt(copies.size()));
				TableReplica from = copies.get(random.nextInt(copies.size()));
				exchange(random, store, from, to);
				assertThat("seed " + seed, value(copies.get(0), "config"), is(greaterThanOrEqualTo(latest)));
			}
			store.writeAgain();
			for (TableReplica copy : copies) {
				copy.replace(store.all(), store.version(), 100);
				copy.dropUnconfirmed();
				copy.applyWithheld();
				copy.replace(store.all(), store.version(), 101);
				assertThat("seed " + seed, values(copy.rows()), is(values(store.all())));
			}
		}
	}

	private static void exchange(Random random, ReturningStore store, TableReplica from, TableReplica to) {
		if (random.nextBoolean()) {
			to.replace(store.all(), store.version(), 1);
		}
		else if (from.complete() > to.complete() && !from.retainsChangesAfter(to.complete())) {
			to.replace(from.storeRows(), from.complete(), from.storeMillis());
		}
		else if (from.complete() > to.complete()) {
			to.apply(from.changesAfter(to.complete()), to.complete(), from.complete(), from.storeMillis());
		}
		if (random.nextInt(10) == 0) {
			to.dropUnconfirmed();
			to.applyWithheld();
		}
	}

	private static Map<String, Integer> values(Iterable<ReplicaRow> rows) {
		Map<String, Integer> values = new HashMap<>();
		rows.forEach((row) -> values.put(row.key(), (int) row.value()[0]));
		return values;
	}

	/**
	 * Store with one table that returns from copies. The configuration is a number that
	 * its writer increases and writes again after a return.
	 *
	 * @author banyanstile contributors
	 */
	private static final class ReturningStore {

		private final Map<String, ReplicaRow> rows = new HashMap<>();

		private Map<String, ReplicaRow> copied = new HashMap<>();

		private int copiedNumber;

		private long era = 1;

		private int number;

		private int configuration;

		private ReturningStore() {
			writeAgain();
			this.copied.putAll(this.rows);
			this.copiedNumber = this.number;
		}

		private void change(Random random) {
			switch (random.nextInt(8)) {
				case 0 -> {
					this.copied = new HashMap<>(this.rows);
					this.copiedNumber = this.number;
				}
				case 1 -> {
					this.rows.clear();
					this.era++;
					this.copied.forEach((key, row) -> this.rows.put(key,
							row(key, this.era, (int) StoreVersion.number(row.version()), row.value()[0])));
					this.number = this.copiedNumber;
				}
				case 2, 3 -> put("config", ++this.configuration);
				case 4 -> {
					this.number++;
					this.rows.remove("k" + random.nextInt(4));
				}
				default -> put("k" + random.nextInt(4), 0);
			}
		}

		private void put(String key, int value) {
			this.number++;
			this.rows.put(key, row(key, this.era, this.number, value));
		}

		private void writeAgain() {
			put("config", ++this.configuration);
		}

		private List<ReplicaRow> all() {
			return List.copyOf(this.rows.values());
		}

		private long version() {
			return StoreVersion.of(this.era, this.number);
		}

	}

}
