package org.banyanstile.server.view;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;

import org.banyanstile.core.catalog.Catalog;
import org.banyanstile.core.catalog.EndpointRole;
import org.banyanstile.core.catalog.RegisteredEndpoint;
import org.banyanstile.core.common.Ticker;
import org.banyanstile.core.replica.ReplicaRow;
import org.banyanstile.server.router.DecisionLog;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

/**
 * Tests for {@link FleetReader}.
 *
 * @author banyanstile contributors
 */
class FleetReaderTests {

	/**
	 * Time in which a change must arrive: the two seconds in which it must be in force,
	 * less a margin until callers see it.
	 */
	private static final long APPLY_MILLIS = 1800;

	private static final long AWAIT_NANOS = 5_000_000_000L;

	@Test
	void vmPollsTheStoreInTimeWhenThePollingVmIsRejected() throws Exception {
		CountingSource source = new CountingSource();
		FleetView view = FleetView.create(new NoDecoder(), Ticker.system(), DecisionLog.create());
		try (FleetReader reader = FleetReader.create(source, view, () -> 3, DecisionLog.create())) {
			reader.start();
			while (view.version(FleetTable.OPERATOR) < 1) {
				Thread.onSpinWait();
			}
			long began = System.nanoTime();
			source.version.set(2);
			while (view.version(FleetTable.OPERATOR) < 2) {
				Thread.onSpinWait();
			}
			assertThat((System.nanoTime() - began) / 1_000_000, is(lessThan(APPLY_MILLIS)));
		}
	}

	@Test
	void vmThatGossipKeepsUpToDateDoesNotPoll() throws Exception {
		CountingSource source = new CountingSource();
		FleetView view = FleetView.create(new NoDecoder(), Ticker.system(), DecisionLog.create());
		try (FleetReader reader = FleetReader.create(source, view, () -> 3, DecisionLog.create())) {
			reader.start();
			while (view.version(FleetTable.OPERATOR) < 1 || view.version(FleetTable.ENDPOINTS) < 1) {
				Thread.onSpinWait();
			}
			int callsBefore = source.calls.get();
			long end = System.nanoTime() + 3_000_000_000L;
			for (long i = 10; System.nanoTime() < end; i++) {
				for (FleetTable table : FleetTable.values()) {
					view.apply(table, 1, new TableRead(List.of(), i, i));
				}
				Thread.onSpinWait();
			}
			assertThat(source.calls.get(), is(callsBefore));
		}
	}

	@Test
	void rowWhoseDecodingFailsDoesNotHideChangesOfOtherRows() throws Exception {
		for (Throwable failure : List.of(new StackOverflowError("test"), new IllegalStateException("test"))) {
			RowSource source = new RowSource();
			source.put("a-odd", "b", "c");
			FleetView view = FleetView.create(new FailingDecoder(failure), Ticker.system(), DecisionLog.create());
			try (FleetReader reader = FleetReader.create(source, view, () -> 0, DecisionLog.create())) {
				reader.start();
				await(() -> view.snapshot().all().keySet().equals(Set.of("b", "c")));
				source.put("a-odd", "d");
				await(() -> view.snapshot().all().keySet().equals(Set.of("b", "c", "d")));
				source.put("a-odd", "evacuate/dc");
				await(() -> view.snapshot().evacuated().equals(Set.of("dc")));
			}
		}
	}

	private static void await(BooleanSupplier condition) throws InterruptedException {
		long end = System.nanoTime() + AWAIT_NANOS;
		while (!condition.getAsBoolean()) {
			assertThat("condition not met in time", System.nanoTime() - end < 0, is(true));
			Thread.sleep(10);
		}
	}

	/**
	 * Store whose tables both hold the rows that a test puts.
	 *
	 * @author banyanstile contributors
	 */
	private static final class RowSource extends EmptyTableSource {

		private final Map<String, ReplicaRow> rows = new TreeMap<>();

		private long version;

		private synchronized void put(String... keys) {
			this.version++;
			for (String key : keys) {
				this.rows.put(key, new ReplicaRow(key, this.version, key.getBytes(StandardCharsets.UTF_8)));
			}
		}

		@Override
		public synchronized TableRead readAll(FleetTable table) {
			return changes(table, -1, Duration.ZERO);
		}

		@Override
		public synchronized TableRead changes(FleetTable table, long after, Duration wait) {
			List<ReplicaRow> changed = this.rows.values().stream().filter((row) -> row.version() > after).toList();
			return new TableRead(changed, this.version, System.nanoTime() / 1_000_000);
		}

	}

	/**
	 * Decoder that fails in an unexpected way on one row.
	 *
	 * @author banyanstile contributors
	 */
	private static final class FailingDecoder implements RowDecoder {

		private final Throwable failure;

		private FailingDecoder(Throwable failure) {
			this.failure = failure;
		}

		private void failOn(String key) {
			if (!key.equals("a-odd")) {
				return;
			}
			if (this.failure instanceof Error error) {
				throw error;
			}
			throw (RuntimeException) this.failure;
		}

		@Override
		public boolean isCatalog(String key) {
			return key.equals("a-odd");
		}

		@Override
		public String evacuatedDataCentre(String key) {
			return key.startsWith("evacuate/") ? key.substring("evacuate/".length()) : null;
		}

		@Override
		public Catalog decodeCatalog(byte[] value) {
			failOn("a-odd");
			throw new IllegalStateException("unreachable");
		}

		@Override
		public RegisteredEndpoint decodeEndpoint(String id, byte[] value) {
			failOn(id);
			return new RegisteredEndpoint(id, "desk", "127.0.0.1:1", "dc-1", EndpointRole.PLAIN, true, 1, 0, 0, "");
		}

	}

	/**
	 * Store that counts calls and whose version a test sets.
	 *
	 * @author banyanstile contributors
	 */
	private static final class CountingSource extends EmptyTableSource {

		private final AtomicInteger calls = new AtomicInteger();

		private final AtomicInteger version = new AtomicInteger(1);

		private TableRead read() {
			this.calls.incrementAndGet();
			int now = this.version.get();
			return new TableRead(List.of(new ReplicaRow("row", now, new byte[0])), now, now);
		}

		@Override
		public TableRead readAll(FleetTable table) {
			return read();
		}

		@Override
		public TableRead changes(FleetTable table, long after, Duration wait) {
			return read();
		}

	}

	/**
	 * Decoder that recognizes no row.
	 *
	 * @author banyanstile contributors
	 */
	private static final class NoDecoder implements RowDecoder {

		@Override
		public boolean isCatalog(String key) {
			return false;
		}

		@Override
		public String evacuatedDataCentre(String key) {
			return null;
		}

		@Override
		public Catalog decodeCatalog(byte[] value) throws MalformedRowException {
			throw new MalformedRowException("no row is decoded", null);
		}

		@Override
		public RegisteredEndpoint decodeEndpoint(String id, byte[] value) throws MalformedRowException {
			throw new MalformedRowException("no row is decoded", null);
		}

	}

}
