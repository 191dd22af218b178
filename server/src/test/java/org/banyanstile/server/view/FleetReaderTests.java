package org.banyanstile.server.view;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

import org.banyanstile.core.catalog.Catalog;
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

	/**
	 * Store that counts calls and whose version a test sets.
	 *
	 * @author banyanstile contributors
	 */
	private static final class CountingSource implements TableSource {

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

		@Override
		public void register(String vm, String peerAddress) {
			// Other VMs are not part of these tests.
		}

		@Override
		public List<VmRow> registered() {
			return List.of();
		}

		@Override
		public void unregister(VmRow row) {
			// Other VMs are not part of these tests.
		}

		@Override
		public RoleChangeOwnerRow roleChangeOwner() {
			return new RoleChangeOwnerRow(0, "");
		}

		@Override
		public long writeRoleChangeOwner(String vm, long expectedVersion) {
			return -1;
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
