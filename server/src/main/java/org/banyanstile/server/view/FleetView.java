package org.banyanstile.server.view;

import java.util.ArrayList;
import java.util.Collection;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;

import org.banyanstile.core.catalog.Catalog;
import org.banyanstile.core.catalog.RegisteredEndpoint;
import org.banyanstile.core.common.Ticker;
import org.banyanstile.core.placement.LeavingEndpoints;
import org.banyanstile.core.placement.LeavingReport;
import org.banyanstile.core.quarantine.StoreEra;
import org.banyanstile.core.replica.ReplicaRow;
import org.banyanstile.core.replica.StoreVersion;
import org.banyanstile.core.replica.TableReplica;
import org.banyanstile.server.router.DecisionLog;
import org.jspecify.annotations.Nullable;

/**
 * This VM's copy of the operator's table and of the endpoint table, and the decoded
 * snapshot of both. Rows come from the store and from other VMs. Safe for use by several
 * threads.
 *
 * @author banyanstile contributors
 */
public final class FleetView {

	/**
	 * Time for which endpoints are kept whose entries expired together. The platform
	 * restores entries that expired during an outage of the store within two seconds, but
	 * endpoints that left without draining must get no work two seconds after their
	 * removal, and a removal takes up to a second to arrive here.
	 */
	static final long MASS_EXPIRY_GRACE_NANOS = 900_000_000L;

	/**
	 * Share of a service's endpoints whose removal in one update without draining counts
	 * as mass expiry. Planned work removes up to half of a small service.
	 */
	static final double MASS_EXPIRY_SHARE = 0.75;

	/**
	 * Longest malformed entry that other VMs receive with its value; they get a longer
	 * one empty, since it would not fit into a datagram with the other rows. Several
	 * times the size of a sound entry.
	 */
	private static final int MAX_MALFORMED_BYTES = 2048;

	/**
	 * Time from the store's return from a copy after which an endpoint that it still
	 * lacks is gone. The platform restores entries within two seconds.
	 */
	static final long RESTORE_NANOS = 2_000_000_000L;

	/**
	 * Time from the store's return after which its rows count whatever was known before.
	 * The operator has written again by then, and the entries of endpoints that left
	 * since the copy have expired.
	 */
	static final long RETURN_GRACE_NANOS = 5_000_000_000L;

	/**
	 * Longest time of the store between two confirmations in which a row cannot have come
	 * and gone: an endpoint that leaves or fails stays registered for longer.
	 */
	static final long MAX_GAP_MILLIS = 3000;

	private final RowDecoder decoder;

	private final Ticker ticker;

	private final DecisionLog log;

	private final Map<FleetTable, TableReplica> replicas = new EnumMap<>(FleetTable.class);

	private final Map<String, RegisteredEndpoint> endpoints = new HashMap<>();

	/**
	 * Endpoints whose malformed entry has been logged. Its writer may renew it each
	 * second.
	 */
	private final Set<String> malformed = new HashSet<>();

	private final RolloutRows rollouts;

	private final LeavingEndpoints leaving = new LeavingEndpoints();

	private final Map<String, Long> keptUntil = new HashMap<>();

	private final Map<String, Long> coldUntil = new HashMap<>();

	private final Map<FleetTable, Long> confirmedAt = new EnumMap<>(FleetTable.class);

	/**
	 * Times in nanoseconds at which the latest gap between confirmations ended.
	 */
	private final Map<FleetTable, Long> gapEndedAt = new EnumMap<>(FleetTable.class);

	private final long createdAt;

	private final List<Consumer<FleetTable>> listeners = new CopyOnWriteArrayList<>();

	private @Nullable Catalog catalog;

	private String catalogKey = "";

	private byte[] catalogValue = new byte[0];

	/**
	 * Times in nanoseconds at which this VM learned that the store had returned from a
	 * copy, while rows may still be missing.
	 */
	private final Map<FleetTable, Long> returnedAt = new EnumMap<>(FleetTable.class);

	/**
	 * Time in nanoseconds since which this VM has known the era of the operator's table.
	 */
	private long eraKnownAt;

	private volatile FleetSnapshot snapshot = new FleetSnapshot(null, Map.of(), Map.of(), Set.of(), Map.of());

	private FleetView(RowDecoder decoder, Ticker ticker, DecisionLog log) {
		this.decoder = decoder;
		this.ticker = ticker;
		this.createdAt = ticker.nanos();
		this.log = log;
		this.rollouts = new RolloutRows(decoder, log);
		for (FleetTable table : FleetTable.values()) {
			this.replicas.put(table,
					TableReplica.create((key, one, other) -> decoder.compareAge(table, key, one, other)));
		}
	}

	/**
	 * Creates an empty view.
	 * @param decoder decodes rows
	 * @param ticker time source
	 * @param log log of changes
	 * @return the view
	 */
	public static FleetView create(RowDecoder decoder, Ticker ticker, DecisionLog log) {
		return new FleetView(decoder, ticker, log);
	}

	/**
	 * Returns the current snapshot.
	 * @return the snapshot
	 */
	public FleetSnapshot snapshot() {
		return this.snapshot;
	}

	/**
	 * Adds a listener for changed rows. It is called while the lock is not held.
	 * @param listener called with the changed table
	 */
	public void onChange(Consumer<FleetTable> listener) {
		this.listeners.add(listener);
	}

	/**
	 * Replaces the copy of a table.
	 * @param table the table
	 * @param read its rows
	 */
	public void replace(FleetTable table, TableRead read) {
		Set<String> changed;
		synchronized (this) {
			long confirmed = storeMillis(table);
			long before = version(table);
			changed = replica(table).replace(read.rows(), read.version(), read.millis());
			recordConfirmation(table, confirmed);
			recordReturn(table, before);
			update(table, changed);
		}
		notifyListeners(table, changed);
	}

	/**
	 * Applies changes to the copy of a table.
	 * @param table the table
	 * @param after version after which all changes are included
	 * @param read the changes
	 */
	public void apply(FleetTable table, long after, TableRead read) {
		Set<String> changed;
		synchronized (this) {
			long confirmed = storeMillis(table);
			changed = replica(table).apply(read.rows(), after, read.version(), read.millis());
			recordConfirmation(table, confirmed);
			update(table, changed);
		}
		notifyListeners(table, changed);
	}

	/**
	 * Returns the era of the store as this VM knows it, which changes with this view.
	 * @return the era
	 */
	public StoreEra era() {
		return new KnownEra();
	}

	private void recordReturn(FleetTable table, long versionBefore) {
		boolean isOtherEra = versionBefore < 0 || !StoreVersion.isSameEra(versionBefore, version(table));
		if (table == FleetTable.OPERATOR && isOtherEra) {
			this.eraKnownAt = this.ticker.nanos();
		}
		if (versionBefore >= 0 && isOtherEra) {
			this.returnedAt.put(table, this.ticker.nanos());
			this.log.lifecycle("store returned from a copy", "table", table, "versionBefore",
					StoreVersion.toText(versionBefore), "version", StoreVersion.toText(version(table)));
		}
	}

	private void notifyListeners(FleetTable table, Set<String> changed) {
		if (!changed.isEmpty()) {
			this.listeners.forEach((listener) -> listener.accept(table));
		}
	}

	/**
	 * Returns the version up to which all changes of a table are known.
	 * @param table the table
	 * @return the version, -1 if nothing is known
	 */
	public synchronized long version(FleetTable table) {
		return replica(table).complete();
	}

	/**
	 * Returns the time at which the store last confirmed the copy of a table.
	 * @param table the table
	 * @return the time in milliseconds of the store's clock, -1 if nothing is known
	 */
	public synchronized long storeMillis(FleetTable table) {
		return replica(table).storeMillis();
	}

	/**
	 * Returns the current time of the store's clock, which all VMs share.
	 * @return the time in milliseconds, -1 if the store was never read
	 */
	public synchronized long storeNowMillis() {
		long confirmed = storeMillis(FleetTable.OPERATOR);
		return (confirmed < 0) ? -1 : confirmed + millisSinceConfirmation(FleetTable.OPERATOR);
	}

	private void recordConfirmation(FleetTable table, long earlierMillis) {
		long millis = storeMillis(table);
		if (millis == earlierMillis) {
			return;
		}
		long now = this.ticker.nanos();
		this.confirmedAt.put(table, now);
		if (earlierMillis >= 0 && Math.abs(millis - earlierMillis) > MAX_GAP_MILLIS) {
			this.gapEndedAt.put(table, now);
			this.log.stateChange("gap in the copy of a table", "table", table, "millis", millis - earlierMillis);
		}
	}

	/**
	 * Returns since when the copy of a table was confirmed without a gap. The store's
	 * clock counts, which goes on while this process is suspended.
	 * @param table the table
	 * @return the time in nanoseconds of the latest confirmation that followed a gap, or
	 * of the creation of this view
	 */
	public synchronized long watchedSince(FleetTable table) {
		return this.gapEndedAt.getOrDefault(table, this.createdAt);
	}

	/**
	 * Returns whether the copy of another VM is about as recent as the one of this VM.
	 * @param table the table
	 * @param version version up to which the other VM knows all changes
	 * @param millis the store's time of that version
	 * @return whether it lacks no more than a row that has come and not gone
	 */
	public synchronized boolean isAboutAsRecent(FleetTable table, long version, long millis) {
		long own = version(table);
		return own < 0 || version >= 0 && StoreVersion.isSameEra(version, own)
				&& millis >= storeMillis(table) - MAX_GAP_MILLIS;
	}

	/**
	 * Returns the time since a newer confirmation of the copy of a table arrived, from
	 * the store or from another VM.
	 * @param table the table
	 * @return the time in milliseconds, counted from the creation of this view if there
	 * was no confirmation
	 */
	public synchronized long millisSinceConfirmation(FleetTable table) {
		return (this.ticker.nanos() - this.confirmedAt.getOrDefault(table, this.createdAt)) / 1_000_000;
	}

	/**
	 * Returns the rows that a VM lacks if it knows a table up to a version.
	 * @param table the table
	 * @param after the version
	 * @return the changes, or the whole table if the changes are no longer kept
	 */
	public synchronized MissingRows changesAfter(FleetTable table, long after) {
		TableReplica replica = replica(table);
		boolean whole = !replica.retainsChangesAfter(after);
		Collection<ReplicaRow> rows = whole ? replica.storeRows() : replica.changesAfter(after);
		List<ReplicaRow> bounded = rows.stream().map((row) -> withBoundedValue(table, row)).toList();
		return new MissingRows(whole, new TableRead(bounded, replica.complete(), replica.storeMillis()));
	}

	/**
	 * Returns the operator's version of the configuration in force.
	 * @return the version, -1 if there is none
	 */
	public synchronized long configurationVersion() {
		return (this.catalog != null) ? this.catalog.version() : -1;
	}

	/**
	 * Returns the row of the configuration in force, which the store may lack after it
	 * has returned from a copy.
	 * @return the row as a change that does not follow any other
	 */
	public synchronized TableRead configuration() {
		TableReplica replica = replica(FleetTable.OPERATOR);
		ReplicaRow row = replica.row(this.catalogKey);
		long version = (row != null) ? row.version() : replica.complete();
		return new TableRead(List.of(new ReplicaRow(this.catalogKey, version, this.catalogValue)), replica.complete(),
				replica.storeMillis());
	}

	private ReplicaRow withBoundedValue(FleetTable table, ReplicaRow row) {
		boolean dropped = table == FleetTable.ENDPOINTS && row.value() != null
				&& row.value().length > MAX_MALFORMED_BYTES && !this.endpoints.containsKey(row.key());
		return dropped ? new ReplicaRow(row.key(), row.version(), new byte[0]) : row;
	}

	/**
	 * Returns whether an endpoint is in its cold-start period.
	 * @param endpoint id of the endpoint
	 * @return whether it is
	 */
	public synchronized boolean isCold(String endpoint) {
		Long until = this.coldUntil.get(endpoint);
		return until != null && until > this.ticker.nanos();
	}

	/**
	 * Records endpoints that said that they leave. They get no new work from now on.
	 * @param reports what they said, to this VM or to another one
	 */
	public void recordLeaving(List<LeavingReport> reports) {
		if (reports.isEmpty()) {
			return;
		}
		Set<String> added;
		synchronized (this) {
			added = this.leaving.merge(reports, this.ticker.nanos());
			if (!added.isEmpty()) {
				rebuild();
			}
		}
		added.forEach((id) -> this.log.stateChange("endpoint", "endpoint", id, "leaving", true));
		notifyListeners(FleetTable.ENDPOINTS, added);
	}

	/**
	 * Returns what endpoints said of leaving, to be sent to other VMs.
	 * @return some of the reports, others in the next call
	 */
	public synchronized List<LeavingReport> leavingReports() {
		return this.leaving.reports(this.endpoints, this.ticker.nanos());
	}

	/**
	 * Drops endpoints whose grace period after a mass expiry has ended, and ends the
	 * grace periods after a return of the store from a copy. Forgets old notices of
	 * endpoints that leave.
	 */
	public void dropExpired() {
		for (FleetTable table : FleetTable.values()) {
			Set<String> changed;
			synchronized (this) {
				changed = endReturn(table);
				update(table, changed);
			}
			notifyListeners(table, changed);
		}
		synchronized (this) {
			long now = this.ticker.nanos();
			boolean hasExpired = this.keptUntil.values().removeIf((until) -> until <= now);
			if (this.leaving.forgetOld(now) || hasExpired) {
				rebuild();
			}
		}
	}

	private Set<String> endReturn(FleetTable table) {
		Long began = this.returnedAt.get(table);
		if (began == null) {
			return Set.of();
		}
		long age = this.ticker.nanos() - began;
		Set<String> changed = new TreeSet<>();
		if (age >= ((table == FleetTable.ENDPOINTS) ? RESTORE_NANOS : RETURN_GRACE_NANOS)) {
			changed.addAll(replica(table).dropUnconfirmed());
		}
		if (age >= RETURN_GRACE_NANOS) {
			changed.addAll(replica(table).applyWithheld());
			this.returnedAt.remove(table);
		}
		return changed;
	}

	private TableReplica replica(FleetTable table) {
		TableReplica replica = this.replicas.get(table);
		if (replica == null) {
			throw new IllegalStateException("no replica of " + table);
		}
		return replica;
	}

	private void update(FleetTable table, Set<String> changed) {
		if (changed.isEmpty()) {
			return;
		}
		TableReplica replica = replica(table);
		if (table == FleetTable.OPERATOR) {
			changed.forEach((key) -> updateOperator(key, replica.row(key)));
		}
		else {
			updateEndpoints(changed, replica);
		}
		rebuild();
	}

	private void updateOperator(String key, @Nullable ReplicaRow row) {
		String dataCentre = this.decoder.evacuatedDataCentre(key);
		if (dataCentre != null) {
			this.log.stateChange("evacuation", "dataCentre", dataCentre, "evacuated", row != null);
			return;
		}
		if (this.decoder.isRollout(key)) {
			this.rollouts.update(key, row);
			return;
		}
		if (!this.decoder.isCatalog(key) || row == null || row.value() == null) {
			return;
		}
		try {
			Catalog next = this.decoder.decodeCatalog(row.value());
			Catalog current = this.catalog;
			if (current == null || next.version() >= current.version()) {
				this.catalog = next;
				this.catalogKey = key;
				this.catalogValue = row.value();
				this.log.stateChange("configuration", "version", next.version(), "row",
						StoreVersion.toText(row.version()));
			}
		}
		catch (MalformedRowException | RuntimeException | StackOverflowError ex) {
			this.log.problem("malformed configuration row; the previous version stays in force", ex);
		}
	}

	private void updateEndpoints(Set<String> changed, TableReplica replica) {
		Map<String, RegisteredEndpoint> removed = new HashMap<>();
		for (String id : changed) {
			ReplicaRow row = replica.row(id);
			RegisteredEndpoint old = this.endpoints.get(id);
			if (row == null || row.value() == null) {
				this.malformed.remove(id);
				if (old != null && old.ready() && !this.keptUntil.containsKey(id)) {
					removed.put(id, old);
				}
				else {
					this.endpoints.remove(id);
				}
				continue;
			}
			this.keptUntil.remove(id);
			decode(id, row.value(), old);
		}
		remove(removed);
	}

	private void decode(String id, byte[] value, @Nullable RegisteredEndpoint old) {
		try {
			RegisteredEndpoint endpoint = this.decoder.decodeEndpoint(id, value);
			this.endpoints.put(id, endpoint);
			this.malformed.remove(id);
			if (endpoint.coldMillis() > 0) {
				this.coldUntil.put(id, this.ticker.nanos() + endpoint.coldMillis() * 1_000_000);
			}
			else {
				this.coldUntil.remove(id);
			}
			if (old == null || old.ready() != endpoint.ready() || old.role() != endpoint.role()) {
				this.log.stateChange("endpoint", "endpoint", id, "service", endpoint.service(), "ready",
						endpoint.ready(), "phase", endpoint.role());
			}
		}
		catch (MalformedRowException | RuntimeException | StackOverflowError ex) {
			// The replica counts the row as applied, so throwing an exception would lose
			// the other changes of the read.
			this.endpoints.remove(id);
			if (!this.malformed.contains(id)
					&& this.log.problem("malformed entry of endpoint " + id + "; the endpoint gets no work", ex)) {
				this.malformed.add(id);
			}
		}
	}

	private void remove(Map<String, RegisteredEndpoint> removed) {
		Map<String, Integer> removedByService = new HashMap<>();
		removed.values().forEach((endpoint) -> removedByService.merge(endpoint.service(), 1, Integer::sum));
		Map<String, Integer> readyByService = new HashMap<>();
		this.endpoints.values()
			.stream()
			.filter(RegisteredEndpoint::ready)
			.forEach((endpoint) -> readyByService.merge(endpoint.service(), 1, Integer::sum));
		long until = this.ticker.nanos() + MASS_EXPIRY_GRACE_NANOS;
		removed.forEach((id, endpoint) -> {
			int count = removedByService.getOrDefault(endpoint.service(), 0);
			boolean massExpiry = count >= 2
					&& count >= MASS_EXPIRY_SHARE * readyByService.getOrDefault(endpoint.service(), 1);
			if (massExpiry) {
				this.keptUntil.put(id, until);
			}
			else {
				this.endpoints.remove(id);
				this.coldUntil.remove(id);
			}
			this.log.stateChange("endpoint", "endpoint", id, "service", endpoint.service(), "removed", true, "lapse",
					massExpiry);
		});
	}

	private void rebuild() {
		TableReplica registered = replica(FleetTable.ENDPOINTS);
		this.endpoints.keySet().removeIf((id) -> registered.row(id) == null && !this.keptUntil.containsKey(id));
		Set<String> evacuated = new HashSet<>();
		for (ReplicaRow row : replica(FleetTable.OPERATOR).rows()) {
			String dataCentre = this.decoder.evacuatedDataCentre(row.key());
			if (dataCentre != null) {
				evacuated.add(dataCentre);
			}
		}
		Map<String, List<RegisteredEndpoint>> usable = new HashMap<>();
		for (RegisteredEndpoint endpoint : this.endpoints.values()) {
			if (endpoint.ready() && !evacuated.contains(endpoint.dataCentre()) && !this.leaving.isLeaving(endpoint)) {
				usable.computeIfAbsent(endpoint.service(), (service) -> new ArrayList<>()).add(endpoint);
			}
		}
		this.snapshot = new FleetSnapshot(this.catalog, usable, Map.copyOf(this.endpoints), evacuated,
				this.rollouts.byService());
	}

	/**
	 * Rows that another VM lacks.
	 *
	 * @param whole whether the rows are the whole table, so that other rows were removed
	 * @param read the rows
	 * @author banyanstile contributors
	 */
	public record MissingRows(boolean whole, TableRead read) {

	}

	/**
	 * Era of the operator's table.
	 *
	 * @author banyanstile contributors
	 */
	private final class KnownEra implements StoreEra {

		@Override
		public long number() {
			long version = version(FleetTable.OPERATOR);
			return (version < 0) ? -1 : StoreVersion.era(version);
		}

		@Override
		public long knownNanos() {
			synchronized (FleetView.this) {
				return FleetView.this.ticker.nanos() - FleetView.this.eraKnownAt;
			}
		}

	}

}
