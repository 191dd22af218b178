package org.banyanstile.server.router;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

import org.banyanstile.core.catalog.Catalog;
import org.banyanstile.core.catalog.EndpointPhase;
import org.banyanstile.core.catalog.EngineTraits;
import org.banyanstile.core.catalog.RegisteredEndpoint;
import org.banyanstile.core.catalog.ServedService;
import org.banyanstile.core.lease.OrderTurn;
import org.banyanstile.core.placement.EndpointLoads;
import org.banyanstile.core.placement.PhaseChanges;
import org.banyanstile.core.placement.RoleBalance;
import org.banyanstile.io.http.HttpException;
import org.banyanstile.server.view.FleetSnapshot;
import org.banyanstile.server.view.FleetView;
import org.banyanstile.server.view.OrderRow;
import org.banyanstile.server.view.TableSource;
import org.banyanstile.server.view.TableSourceException;

/**
 * Gives orders that change the parts of engines. Only the first living VM of the fleet
 * does, and only with the turn that the store confirms.
 *
 * @author banyanstile contributors
 */
final class RoleKeeper implements AutoCloseable {

	private static final long ROUND_MILLIS = 500;

	/**
	 * Time for which the set of engines must not have changed. An engine that crashed is
	 * usually back within some seconds, and an order costs six.
	 */
	private static final long STABLE_NANOS = 3_000_000_000L;

	/**
	 * Time beyond the change itself after which an order counts as not carried out.
	 */
	private static final long ORDER_MARGIN_NANOS = 4_000_000_000L;

	private final String vm;

	private final FleetView view;

	private final TableSource store;

	private final EngineCalls engines;

	private final EndpointLoads loads;

	private final PhaseChanges changes;

	private final BooleanSupplier isOwner;

	private final DecisionLog log;

	private final OrderTurn turn;

	/**
	 * Orders that this VM has given, whatever their outcome, so that none is repeated at
	 * once.
	 */
	private final Map<String, Change> given = new HashMap<>();

	private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor((body) -> {
		Thread thread = new Thread(body, "role-keeper");
		thread.setDaemon(true);
		return thread;
	});

	private Set<String> known = Set.of();

	private long knownSince;

	RoleKeeper(String vm, FleetView view, TableSource store, EngineCalls engines, EndpointLoads loads,
			PhaseChanges changes, BooleanSupplier isOwner, DecisionLog log) {
		this.vm = vm;
		this.view = view;
		this.store = store;
		this.engines = engines;
		this.loads = loads;
		this.changes = changes;
		this.isOwner = isOwner;
		this.log = log;
		this.turn = OrderTurn.of(vm);
	}

	void start() {
		var unused = this.timer.scheduleWithFixedDelay(this::round, ROUND_MILLIS, ROUND_MILLIS, TimeUnit.MILLISECONDS);
	}

	private void round() {
		try {
			Catalog catalog = this.view.snapshot().catalog();
			long now = System.nanoTime();
			if (catalog == null || !this.isOwner.getAsBoolean() || !isStable(now)) {
				return;
			}
			expire(now);
			for (ServedService service : catalog.services()) {
				EngineTraits traits = service.engine();
				if (traits != null && traits.roleChangeMillis() > 0) {
					balance(service.name(), traits);
				}
			}
		}
		catch (TableSourceException ex) {
			this.turn.lost();
			this.log.problem("the turn to give orders is not confirmed", ex);
		}
		catch (RuntimeException ex) {
			this.log.problem("balancing the parts of engines failed", ex);
		}
	}

	private boolean isStable(long now) {
		Set<String> ids = new HashSet<>(this.view.snapshot().all().keySet());
		if (!ids.equals(this.known)) {
			this.known = ids;
			this.knownSince = now;
		}
		return now - this.knownSince >= STABLE_NANOS;
	}

	private void expire(long now) {
		FleetSnapshot snapshot = this.view.snapshot();
		Iterator<Map.Entry<String, Change>> all = this.given.entrySet().iterator();
		while (all.hasNext()) {
			Map.Entry<String, Change> entry = all.next();
			RegisteredEndpoint engine = snapshot.all().get(entry.getKey());
			if (engine == null || now > entry.getValue().until()) {
				all.remove();
			}
		}
	}

	private void balance(String service, EngineTraits traits) throws TableSourceException {
		List<RegisteredEndpoint> all = this.view.snapshot()
			.usable()
			.getOrDefault(service, List.of())
			.stream()
			.filter((engine) -> engine.phase() != EndpointPhase.PLAIN)
			.toList();
		Map<String, EndpointPhase> pending = new HashMap<>();
		this.changes.pending(System.nanoTime()).forEach((change) -> pending.put(change.endpoint(), change.phase()));
		this.given.forEach((id, change) -> pending.put(id, change.phase()));
		List<RoleBalance.RoleChange> plan = RoleBalance.plan(all, pending, (id) -> this.loads.total(id).tokens());
		if (plan.isEmpty() || !confirmTurn()) {
			return;
		}
		for (RoleBalance.RoleChange change : plan) {
			order(change, traits);
		}
	}

	/**
	 * Confirms the turn at the store.
	 * @return whether this VM may give orders now
	 * @throws TableSourceException if the store did not answer
	 */
	private boolean confirmTurn() throws TableSourceException {
		OrderRow row = this.store.orderRow();
		this.turn.read(row.version(), row.owner(), System.nanoTime());
		if (!this.turn.mayWrite(System.nanoTime())) {
			return false;
		}
		long began = System.nanoTime();
		long version = this.store.writeOrderRow(this.vm, this.turn.expectedVersion());
		if (version < 0) {
			this.turn.lost();
			return false;
		}
		this.turn.written(version, began);
		this.log.belief("turn to give orders", "fencingToken", version, "previousOwner", row.owner());
		return true;
	}

	private void order(RoleBalance.RoleChange change, EngineTraits traits) {
		RegisteredEndpoint engine = change.engine();
		long now = System.nanoTime();
		long token = this.turn.token(now);
		if (token < 0) {
			return;
		}
		long until = now + TimeUnit.MILLISECONDS.toNanos(traits.roleChangeMillis()) + ORDER_MARGIN_NANOS;
		this.given.put(engine.id(), new Change(change.phase(), until));
		try {
			EngineCalls.OrderOutcome outcome = this.engines.changePhase(engine, change.phase(), this.vm, token);
			this.log.belief("order", "engine", engine.id(), "phase", change.phase(), "fencingToken", token, "outcome",
					outcome);
			if (outcome == EngineCalls.OrderOutcome.ACCEPTED) {
				this.changes.begin(engine.id(), change.phase(), until);
			}
			if (outcome == EngineCalls.OrderOutcome.FENCED) {
				this.turn.lost();
			}
		}
		catch (HttpException ex) {
			this.log.problem("an order to " + engine.id() + " has no answer", ex);
		}
	}

	@Override
	public void close() {
		this.timer.shutdownNow();
	}

	/**
	 * An order that is carried out.
	 *
	 * @param phase the new part
	 * @param until time in nanoseconds after which it counts as lost
	 * @author banyanstile contributors
	 */
	private record Change(EndpointPhase phase, long until) {

	}

}
