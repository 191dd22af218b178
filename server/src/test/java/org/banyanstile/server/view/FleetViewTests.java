package org.banyanstile.server.view;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;

import org.banyanstile.core.catalog.Catalog;
import org.banyanstile.core.catalog.EndpointRole;
import org.banyanstile.core.catalog.RegisteredEndpoint;
import org.banyanstile.core.replica.ReplicaRow;
import org.banyanstile.core.replica.StoreVersion;
import org.banyanstile.server.router.DecisionLog;
import org.banyanstile.server.router.LogRecorder;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

/**
 * Tests for {@link FleetView}.
 *
 * @author banyanstile contributors
 */
class FleetViewTests {

	/**
	 * Time after its removal from which an endpoint must get no more work.
	 */
	private static final long DRAIN_NANOS = 2_000_000_000L;

	/**
	 * Longest time that a removal takes to arrive while the store responds.
	 */
	private static final long PROPAGATION_NANOS = 1_000_000_000L;

	private final AtomicLong nanos = new AtomicLong();

	private final FleetView view = FleetView.create(new TextDecoder(), this.nanos::get, DecisionLog.create());

	private long version;

	private void put(FleetTable table, String key, String value) {
		apply(table, List.of(new ReplicaRow(key, this.version + 1,
				(value != null) ? value.getBytes(StandardCharsets.UTF_8) : null)));
	}

	private void apply(FleetTable table, List<ReplicaRow> rows) {
		long after = this.version;
		this.version++;
		this.view.apply(table, after, new TableRead(rows, this.version, this.version));
	}

	private List<RegisteredEndpoint> usable() {
		return this.view.snapshot().usable("desk", EndpointRole.PLAIN);
	}

	private void removeTogether(int count) {
		List<ReplicaRow> rows = new ArrayList<>();
		for (int i = 0; i < count; i++) {
			rows.add(new ReplicaRow("e" + i, this.version + 1, null));
		}
		apply(FleetTable.ENDPOINTS, rows);
	}

	@Test
	void olderConfigurationIsIgnored() {
		put(FleetTable.OPERATOR, "config", "9");
		put(FleetTable.OPERATOR, "config", "4");
		assertThat(this.view.snapshot().catalog().version(), is(9L));
	}

	// The clock of this process stands still, as while it is suspended.
	@Test
	void gapBetweenConfirmationsIsSeenByTheClockOfTheStore() {
		long created = this.nanos.get();
		this.nanos.incrementAndGet();
		confirm(1, 10_000);
		confirm(2, 10_000 + FleetView.MAX_GAP_MILLIS);
		assertThat(this.view.watchedSince(FleetTable.ENDPOINTS), is(created));
		assertThat(this.view.isAboutAsRecent(FleetTable.ENDPOINTS, 1, 10_000), is(true));
		confirm(3, 10_001 + 2 * FleetView.MAX_GAP_MILLIS);
		assertThat(this.view.watchedSince(FleetTable.ENDPOINTS), is(this.nanos.get()));
		assertThat(this.view.watchedSince(FleetTable.OPERATOR), is(created));
		assertThat(this.view.isAboutAsRecent(FleetTable.ENDPOINTS, 2, 10_000 + FleetView.MAX_GAP_MILLIS), is(false));
		assertThat(this.view.isAboutAsRecent(FleetTable.ENDPOINTS, -1, -1), is(false));
	}

	private void confirm(long to, long millis) {
		this.view.apply(FleetTable.ENDPOINTS, this.view.version(FleetTable.ENDPOINTS),
				new TableRead(List.of(), to, millis));
	}

	@Test
	void malformedConfigurationKeepsThePreviousOneInForce() {
		put(FleetTable.OPERATOR, "config", "9");
		put(FleetTable.OPERATOR, "config", "x");
		assertThat(this.view.snapshot().catalog().version(), is(9L));
	}

	@Test
	void drainingOrRemovedEndpointIsNotUsable() {
		put(FleetTable.ENDPOINTS, "e0", "ready");
		put(FleetTable.ENDPOINTS, "e1", "ready");
		put(FleetTable.ENDPOINTS, "e2", "ready");
		put(FleetTable.ENDPOINTS, "e0", "draining");
		put(FleetTable.ENDPOINTS, "e1", null);
		assertThat(usable(), hasSize(1));
	}

	@Test
	void endpointsThatExpireTogetherAreKeptForTheGracePeriod() {
		for (int i = 0; i < 4; i++) {
			put(FleetTable.ENDPOINTS, "e" + i, "ready");
		}
		removeTogether(4);
		this.view.dropExpired();
		assertThat(usable(), hasSize(4));
		put(FleetTable.ENDPOINTS, "e0", "ready");
		this.nanos.set(FleetView.MASS_EXPIRY_GRACE_NANOS);
		this.view.dropExpired();
		assertThat(usable(), hasSize(1));
	}

	@Test
	void halfOfASmallServiceThatLeavesWithoutDrainingIsNotUsable() {
		for (int i = 0; i < 4; i++) {
			put(FleetTable.ENDPOINTS, "e" + i, "ready");
		}
		removeTogether(2);
		assertThat(usable(), hasSize(2));
	}

	@Test
	void endpointOfAMassExpiryIsDroppedWithinTheDrainTime() {
		put(FleetTable.ENDPOINTS, "e0", "ready");
		put(FleetTable.ENDPOINTS, "e1", "ready");
		removeTogether(2);
		this.nanos.set(DRAIN_NANOS - PROPAGATION_NANOS);
		this.view.dropExpired();
		assertThat(usable(), hasSize(0));
	}

	@Test
	void evacuatedDataCentreHasNoUsableEndpoint() {
		put(FleetTable.ENDPOINTS, "e0", "ready");
		put(FleetTable.OPERATOR, "evacuate/dc1", "{}");
		assertThat(usable(), hasSize(0));
		put(FleetTable.OPERATOR, "evacuate/dc1", null);
		assertThat(usable(), hasSize(1));
	}

	private void readAll(FleetTable table, long era, long number, String... keys) {
		List<ReplicaRow> rows = new ArrayList<>();
		for (String key : keys) {
			rows.add(new ReplicaRow(key, StoreVersion.of(era, number), "ready".getBytes(StandardCharsets.UTF_8)));
		}
		this.view.replace(table, new TableRead(rows, StoreVersion.of(era, number), number));
	}

	@Test
	void endpointThatTheStoreLacksAfterItsReturnIsUsableUntilEntriesAreRestored() {
		readAll(FleetTable.ENDPOINTS, 1, 30, "e0", "e1", "e2");
		readAll(FleetTable.ENDPOINTS, 2, 20, "e0", "e1");
		assertThat(usable(), hasSize(3));
		this.nanos.set(FleetView.RESTORE_NANOS);
		this.view.dropExpired();
		assertThat(usable(), hasSize(2));
	}

	@Test
	void endpointThatLeftBeforeTheReturnGetsNoWorkFromTheCopy() {
		readAll(FleetTable.ENDPOINTS, 1, 30, "e0", "e1", "e2");
		readAll(FleetTable.ENDPOINTS, 1, 31, "e0", "e1");
		readAll(FleetTable.ENDPOINTS, 2, 20, "e0", "e1", "e2");
		this.nanos.set(FleetView.RETURN_GRACE_NANOS - 1);
		this.view.dropExpired();
		assertThat(usable(), hasSize(2));
		this.nanos.set(FleetView.RETURN_GRACE_NANOS);
		this.view.dropExpired();
		assertThat(usable(), hasSize(3));
	}

	@Test
	void evacuationThatTheCopyLacksStaysInForce() {
		readAll(FleetTable.ENDPOINTS, 1, 20, "e0");
		readAll(FleetTable.OPERATOR, 1, 30, "evacuate/dc1");
		readAll(FleetTable.OPERATOR, 2, 20);
		assertThat(usable(), hasSize(0));
		this.nanos.set(FleetView.RETURN_GRACE_NANOS);
		this.view.dropExpired();
		assertThat(usable(), hasSize(1));
	}

	@Test
	void malformedEntryIsLoggedOnceAndInABoundedLine() {
		try (LogRecorder recorder = LogRecorder.start()) {
			for (int i = 0; i < 5; i++) {
				put(FleetTable.ENDPOINTS, "e-odd", "odd".repeat(20_000));
			}
			put(FleetTable.ENDPOINTS, "e-odd", "ready");
			put(FleetTable.ENDPOINTS, "e-odd", "odd again");
			List<String> lines = recorder.lines("malformed entry of endpoint e-odd");
			assertThat(lines, hasSize(2));
			assertThat(lines.get(0).length(), is(lessThan(3000)));
			assertThat(lines.get(1), containsString("odd again"));
		}
	}

	/**
	 * Guards against sending a whole table as changes: the receiver would keep rows whose
	 * removals the sender no longer stores.
	 */
	@Test
	void vmThatMissedTooManyRemovalsGetsTheWholeTable() {
		put(FleetTable.ENDPOINTS, "e0", "ready");
		long known = this.version;
		put(FleetTable.ENDPOINTS, "e1", "ready");
		assertThat(this.view.changesAfter(FleetTable.ENDPOINTS, known).whole(), is(false));
		for (int i = 0; i < 600; i++) {
			put(FleetTable.ENDPOINTS, "gone" + i, "ready");
			put(FleetTable.ENDPOINTS, "gone" + i, null);
		}
		FleetView.MissingRows missing = this.view.changesAfter(FleetTable.ENDPOINTS, known);
		assertThat(missing.whole(), is(true));
		assertThat(missing.read().rows(), hasSize(2));
	}

	/**
	 * Decodes rows that hold only the version of a configuration or the state of an
	 * endpoint.
	 *
	 * @author banyanstile contributors
	 */
	static final class TextDecoder implements RowDecoder {

		@Override
		public boolean isCatalog(String key) {
			return key.equals("config");
		}

		@Override
		public String evacuatedDataCentre(String key) {
			return key.startsWith("evacuate/") ? key.substring(9) : null;
		}

		@Override
		public Catalog decodeCatalog(byte[] value) throws MalformedRowException {
			try {
				long version = Long.parseLong(new String(value, StandardCharsets.UTF_8));
				return Catalog.of(version, List.of(), List.of(), Map.of(), false, 1);
			}
			catch (NumberFormatException ex) {
				throw new MalformedRowException("configuration version is not a number", ex);
			}
		}

		@Override
		public RegisteredEndpoint decodeEndpoint(String id, byte[] value) throws MalformedRowException {
			String text = new String(value, StandardCharsets.UTF_8);
			if (text.startsWith("odd")) {
				throw new MalformedRowException("unknown state " + text, null);
			}
			boolean ready = text.equals("ready");
			return new RegisteredEndpoint(id, "desk", "10.0.0.1:80", "dc1", EndpointRole.PLAIN, ready, 6, 0, 0, "");
		}

	}

}
