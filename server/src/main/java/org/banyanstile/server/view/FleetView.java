package org.banyanstile.server.view;

import java.util.ArrayList;
import java.util.Collection;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;

import org.banyanstile.core.catalog.Catalog;
import org.banyanstile.core.catalog.RegisteredEndpoint;
import org.banyanstile.core.common.Ticker;
import org.banyanstile.core.replica.ReplicaRow;
import org.banyanstile.core.replica.TableReplica;
import org.banyanstile.server.router.DecisionLog;
import org.jspecify.annotations.Nullable;

/**
 * This VM's copy of the operator's table and of the endpoints, and the decoded snapshot
 * of both. Rows come from the store and from other VMs. Safe for use by several threads.
 *
 * @author banyanstile contributors
 */
public final class FleetView {

	/**
	 * Endpoints whose entries lapsed together are kept for this long. The platform
	 * restores entries that lapsed during an outage of the store within two seconds, but
	 * endpoints that left without a word must get no work two seconds after they were
	 * removed, and a removal takes up to a second to arrive here.
	 */
	static final long LAPSE_GRACE_NANOS = 900_000_000L;

	/**
	 * Part of a service's endpoints that must vanish at once without draining before it
	 * counts as a lapse. Planned work takes away up to half of a small service.
	 */
	static final double LAPSE_PART = 0.75;

	private final RowDecoder decoder;

	private final Ticker ticker;

	private final DecisionLog log;

	private final Map<FleetTable, TableReplica> replicas = new EnumMap<>(FleetTable.class);

	private final Map<String, RegisteredEndpoint> endpoints = new HashMap<>();

	private final Map<String, Long> lapsed = new HashMap<>();

	private final Map<String, Long> coldUntil = new HashMap<>();

	private final List<Consumer<FleetTable>> listeners = new CopyOnWriteArrayList<>();

	private @Nullable Catalog catalog;

	private volatile FleetSnapshot snapshot = new FleetSnapshot(null, Map.of(), Map.of(), Set.of());

	private FleetView(RowDecoder decoder, Ticker ticker, DecisionLog log) {
		this.decoder = decoder;
		this.ticker = ticker;
		this.log = log;
		for (FleetTable table : FleetTable.values()) {
			this.replicas.put(table, new TableReplica());
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
	 * Returns the present knowledge.
	 * @return the snapshot
	 */
	public FleetSnapshot snapshot() {
		return this.snapshot;
	}

	/**
	 * Adds a listener for changed rows. It is called without the lock.
	 * @param listener called with the changed table
	 */
	public void onChange(Consumer<FleetTable> listener) {
		this.listeners.add(listener);
	}

	/**
	 * Applies a whole table.
	 * @param table the table
	 * @param read its rows
	 */
	public void replace(FleetTable table, TableRead read) {
		Set<String> changed;
		synchronized (this) {
			changed = replica(table).replace(read.rows(), read.version(), read.millis());
			update(table, changed);
		}
		notifyChange(table, changed);
	}

	/**
	 * Applies changes.
	 * @param table the table
	 * @param after all changes after this version are among them
	 * @param read the changes
	 */
	public void apply(FleetTable table, long after, TableRead read) {
		Set<String> changed;
		synchronized (this) {
			changed = replica(table).apply(read.rows(), after, read.version(), read.millis());
			update(table, changed);
		}
		notifyChange(table, changed);
	}

	private void notifyChange(FleetTable table, Set<String> changed) {
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
	 * Returns the store's time for which a table is known.
	 * @param table the table
	 * @return the time in milliseconds, -1 if nothing is known
	 */
	public synchronized long storeMillis(FleetTable table) {
		return replica(table).storeMillis();
	}

	/**
	 * Returns what a VM has to get that knows a table up to a version.
	 * @param table the table
	 * @param after the version
	 * @return the changes, or the whole table if the changes are not remembered
	 */
	public synchronized MissingRows changesAfter(FleetTable table, long after) {
		TableReplica replica = replica(table);
		boolean whole = !replica.remembers(after);
		Collection<ReplicaRow> rows = whole ? replica.rows() : replica.changesAfter(after);
		return new MissingRows(whole, new TableRead(List.copyOf(rows), replica.complete(), replica.storeMillis()));
	}

	/**
	 * Returns whether an endpoint is still cold.
	 * @param endpoint id of the endpoint
	 * @return whether it is
	 */
	public synchronized boolean isCold(String endpoint) {
		Long until = this.coldUntil.get(endpoint);
		return until != null && until > this.ticker.nanos();
	}

	/**
	 * Drops endpoints whose grace after a lapse has ended.
	 */
	public synchronized void tick() {
		long now = this.ticker.nanos();
		if (this.lapsed.values().removeIf((until) -> until <= now)) {
			rebuild();
		}
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
			this.log.belief("evacuation", "dataCentre", dataCentre, "evacuated", row != null);
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
				this.log.belief("configuration", "version", next.version(), "row", row.version());
			}
		}
		catch (MalformedRowException ex) {
			this.log.problem("malformed configuration row, the previous version stays in force", ex);
		}
	}

	private void updateEndpoints(Set<String> changed, TableReplica replica) {
		Map<String, RegisteredEndpoint> vanished = new HashMap<>();
		for (String id : changed) {
			ReplicaRow row = replica.row(id);
			RegisteredEndpoint old = this.endpoints.get(id);
			if (row == null || row.value() == null) {
				if (old != null && old.ready() && !this.lapsed.containsKey(id)) {
					vanished.put(id, old);
				}
				else {
					this.endpoints.remove(id);
				}
				continue;
			}
			this.lapsed.remove(id);
			decode(id, row.value(), old);
		}
		vanish(vanished);
	}

	private void decode(String id, byte[] value, @Nullable RegisteredEndpoint old) {
		try {
			RegisteredEndpoint endpoint = this.decoder.decodeEndpoint(id, value);
			this.endpoints.put(id, endpoint);
			if (endpoint.coldMillis() > 0) {
				this.coldUntil.put(id, this.ticker.nanos() + endpoint.coldMillis() * 1_000_000);
			}
			else {
				this.coldUntil.remove(id);
			}
			if (old == null || old.ready() != endpoint.ready() || old.phase() != endpoint.phase()) {
				this.log.belief("endpoint", "endpoint", id, "service", endpoint.service(), "ready", endpoint.ready(),
						"phase", endpoint.phase());
			}
		}
		catch (MalformedRowException ex) {
			this.endpoints.remove(id);
			this.log.problem("malformed entry of endpoint " + id + ", it gets no work", ex);
		}
	}

	private void vanish(Map<String, RegisteredEndpoint> vanished) {
		Map<String, Integer> gone = new HashMap<>();
		vanished.values().forEach((endpoint) -> gone.merge(endpoint.service(), 1, Integer::sum));
		Map<String, Integer> before = new HashMap<>();
		this.endpoints.values()
			.stream()
			.filter(RegisteredEndpoint::ready)
			.forEach((endpoint) -> before.merge(endpoint.service(), 1, Integer::sum));
		long until = this.ticker.nanos() + LAPSE_GRACE_NANOS;
		vanished.forEach((id, endpoint) -> {
			int count = gone.getOrDefault(endpoint.service(), 0);
			boolean together = count >= 2 && count >= LAPSE_PART * before.getOrDefault(endpoint.service(), 1);
			if (together) {
				this.lapsed.put(id, until);
			}
			else {
				this.endpoints.remove(id);
				this.coldUntil.remove(id);
			}
			this.log.belief("endpoint", "endpoint", id, "service", endpoint.service(), "removed", true, "lapse",
					together);
		});
	}

	private void rebuild() {
		TableReplica registered = replica(FleetTable.ENDPOINTS);
		this.endpoints.keySet().removeIf((id) -> registered.row(id) == null && !this.lapsed.containsKey(id));
		Set<String> evacuated = new HashSet<>();
		for (ReplicaRow row : replica(FleetTable.OPERATOR).rows()) {
			String dataCentre = this.decoder.evacuatedDataCentre(row.key());
			if (dataCentre != null) {
				evacuated.add(dataCentre);
			}
		}
		Map<String, List<RegisteredEndpoint>> usable = new HashMap<>();
		for (RegisteredEndpoint endpoint : this.endpoints.values()) {
			if (endpoint.ready() && !evacuated.contains(endpoint.dataCentre())) {
				usable.computeIfAbsent(endpoint.service(), (service) -> new ArrayList<>()).add(endpoint);
			}
		}
		this.snapshot = new FleetSnapshot(this.catalog, usable, Map.copyOf(this.endpoints), evacuated);
	}

	/**
	 * What a VM has to get.
	 *
	 * @param whole whether the rows are the whole table, so that other rows are gone
	 * @param read the rows
	 * @author banyanstile contributors
	 */
	public record MissingRows(boolean whole, TableRead read) {

	}

}
