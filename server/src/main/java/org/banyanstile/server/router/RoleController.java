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
import org.banyanstile.core.catalog.EndpointRole;
import org.banyanstile.core.catalog.EngineTraits;
import org.banyanstile.core.catalog.RegisteredEndpoint;
import org.banyanstile.core.catalog.ServedService;
import org.banyanstile.core.lease.RoleChangeOwnership;
import org.banyanstile.core.placement.AbsentEngines;
import org.banyanstile.core.placement.DemandBalance;
import org.banyanstile.core.placement.EndpointLoads;
import org.banyanstile.core.placement.RoleBalance;
import org.banyanstile.core.placement.RoleChanges;
import org.banyanstile.core.placement.RoleDemand;
import org.banyanstile.io.http.HttpException;
import org.banyanstile.server.view.FleetSnapshot;
import org.banyanstile.server.view.FleetView;
import org.banyanstile.server.view.RoleChangeOwnerRow;
import org.banyanstile.server.view.TableSource;
import org.banyanstile.server.view.TableSourceException;

/**
 * Gives orders that change the roles of engines. Only the live VM with the lowest name
 * does so, and only while the store confirms its ownership of role changes.
 *
 * @author banyanstile contributors
 */
final class RoleController implements AutoCloseable {

	private static final long INTERVAL_MILLIS = 500;

	/**
	 * Time for which the set of engines must not have changed before a decode engine
	 * becomes a prefill engine, which takes its memory away at once.
	 */
	private static final long MIN_STABLE_NANOS = 3_000_000_000L;

	/**
	 * Time for which there must have been too many prefill engines before one becomes a
	 * decode engine. It has little work, so the order costs little, while the requests
	 * that wait for decode memory are late.
	 */
	private static final long MIN_SURPLUS_NANOS = 1_000_000_000L;

	/**
	 * Time beyond the duration of a role change after which an order counts as failed.
	 */
	private static final long ORDER_MARGIN_NANOS = 4_000_000_000L;

	/**
	 * Shortest time between orders that follow the demand, longer than a role change
	 * takes.
	 */
	private static final long MIN_ORDER_INTERVAL_NANOS = 8_000_000_000L;

	private final String vm;

	private final FleetView view;

	private final TableSource store;

	private final EngineCalls engineCalls;

	private final EndpointLoads loads;

	private final RoleChanges roleChanges;

	private final RouterServices services;

	private final BooleanSupplier isEligible;

	private final DecisionLog log;

	private final RoleChangeOwnership ownership;

	/**
	 * Orders that this VM has given, whatever their outcome, by engine. An engine in this
	 * map gets no further order, so a failed order is not retried at once.
	 */
	private final Map<String, IssuedOrder> issuedOrders = new HashMap<>();

	private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor((body) -> {
		Thread thread = new Thread(body, "role-keeper");
		thread.setDaemon(true);
		return thread;
	});

	private final Map<String, AbsentEngines> absentEngines = new HashMap<>();

	/**
	 * Time in nanoseconds since which a service has had too many prefill engines.
	 */
	private final Map<String, Long> surplusSince = new HashMap<>();

	/**
	 * Time in nanoseconds of the last orders, by service.
	 */
	private final Map<String, Long> orderedAtNanos = new HashMap<>();

	private Set<String> knownIds = Set.of();

	private long knownIdsSinceNanos;

	RoleController(String vm, FleetView view, TableSource store, EngineCalls engineCalls, EndpointLoads loads,
			RoleChanges roleChanges, RouterServices services, BooleanSupplier isEligible, DecisionLog log) {
		this.vm = vm;
		this.view = view;
		this.store = store;
		this.engineCalls = engineCalls;
		this.loads = loads;
		this.roleChanges = roleChanges;
		this.services = services;
		this.isEligible = isEligible;
		this.log = log;
		this.ownership = RoleChangeOwnership.of(vm);
	}

	void start() {
		var unused = this.timer.scheduleWithFixedDelay(this::balanceAll, INTERVAL_MILLIS, INTERVAL_MILLIS,
				TimeUnit.MILLISECONDS);
	}

	private void balanceAll() {
		try {
			Catalog catalog = this.view.snapshot().catalog();
			long now = System.nanoTime();
			if (catalog == null || !this.isEligible.getAsBoolean()) {
				return;
			}
			boolean stable = isStable(now);
			removeExpiredOrders(now);
			for (ServedService service : catalog.services()) {
				EngineTraits traits = service.engine();
				if (traits != null && traits.roleChangeMillis() > 0) {
					balance(service.name(), traits, stable, now);
				}
			}
		}
		catch (TableSourceException ex) {
			this.ownership.lost();
			this.log.problem("the store did not confirm ownership of role changes", ex);
		}
		catch (RuntimeException | Error ex) {
			this.log.problem("balancing the roles of engines failed", ex);
		}
	}

	private boolean isStable(long now) {
		Set<String> ids = new HashSet<>(this.view.snapshot().all().keySet());
		if (!ids.equals(this.knownIds)) {
			this.knownIds = ids;
			this.knownIdsSinceNanos = now;
		}
		return now - this.knownIdsSinceNanos >= MIN_STABLE_NANOS;
	}

	private void removeExpiredOrders(long now) {
		FleetSnapshot snapshot = this.view.snapshot();
		Iterator<Map.Entry<String, IssuedOrder>> entries = this.issuedOrders.entrySet().iterator();
		while (entries.hasNext()) {
			Map.Entry<String, IssuedOrder> entry = entries.next();
			RegisteredEndpoint engine = snapshot.all().get(entry.getKey());
			if (engine == null || now > entry.getValue().expiresAtNanos()) {
				entries.remove();
			}
		}
	}

	private void balance(String service, EngineTraits traits, boolean stable, long now) throws TableSourceException {
		List<RoleBalance.RoleChange> plan = plan(service, traits, now);
		boolean surplus = !plan.isEmpty() && plan.get(0).role() == EndpointRole.DECODE;
		if (!surplus) {
			this.surplusSince.remove(service);
		}
		// While one version replaces another, a role that is planned now is wrong soon.
		boolean due = (surplus && usableVersions(service) < 2)
				? now - this.surplusSince.computeIfAbsent(service, (name) -> now) >= MIN_SURPLUS_NANOS : stable;
		if (plan.isEmpty() || !due || !confirmOwnership()) {
			return;
		}
		logDemand(service);
		this.orderedAtNanos.put(service, now);
		for (RoleBalance.RoleChange change : plan) {
			order(change, traits);
		}
	}

	private List<RoleBalance.RoleChange> plan(String service, EngineTraits traits, long now) {
		FleetSnapshot snapshot = this.view.snapshot();
		List<RegisteredEndpoint> usable = usableEngines(service);
		Map<String, RegisteredEndpoint> registered = new HashMap<>();
		snapshot.all().forEach((id, endpoint) -> {
			if (endpoint.service().equals(service) && endpoint.role() != EndpointRole.PLAIN) {
				registered.put(id, endpoint);
			}
		});
		List<RegisteredEndpoint> absent = this.absentEngines.computeIfAbsent(service, (name) -> new AbsentEngines())
			.update(registered, now);
		Map<String, EndpointRole> pending = new HashMap<>();
		this.roleChanges.pending(now).forEach((change) -> pending.put(change.endpoint(), change.role()));
		this.issuedOrders.forEach((id, order) -> pending.put(id, order.role()));
		if (this.services.fleetAdmission() && usableVersions(service) < 2) {
			return planByDemand(service, traits, DemandBalance.of(usable, absent, pending,
					this.services.observations().speeds(), (id) -> this.loads.total(id).tokens()), now);
		}
		return RoleBalance.planByVersion(usable, absent, pending, (id) -> this.loads.total(id).tokens());
	}

	private List<RegisteredEndpoint> usableEngines(String service) {
		return this.view.snapshot()
			.usable()
			.getOrDefault(service, List.of())
			.stream()
			.filter((engine) -> engine.role() != EndpointRole.PLAIN)
			.toList();
	}

	private int usableVersions(String service) {
		return RoleBalance.versions(usableEngines(service)).size();
	}

	private List<RoleBalance.RoleChange> planByDemand(String service, EngineTraits traits, DemandBalance balance,
			long now) {
		RoleDemand demand = this.services.observations().demand(this.vm, service);
		Long orderedAt = this.orderedAtNanos.get(service);
		if (demand != null && orderedAt != null && now - orderedAt < MIN_ORDER_INTERVAL_NANOS) {
			return List.of();
		}
		return balance.plan(demand, traits.memoryTokens());
	}

	private void logDemand(String service) {
		RoleDemand demand = this.services.fleetAdmission() ? this.services.observations().demand(this.vm, service)
				: null;
		if (demand != null) {
			this.log.stateChange("role demand", "service", service, "prefillEngines", demand.prefillEngines(),
					"memoryTokens", demand.memoryTokens());
		}
	}

	/**
	 * Confirms the ownership of role changes at the store.
	 * @return whether this VM may give orders now
	 * @throws TableSourceException if the store did not respond
	 */
	private boolean confirmOwnership() throws TableSourceException {
		RoleChangeOwnerRow row = this.store.roleChangeOwner();
		this.ownership.read(row.version(), row.owner(), System.nanoTime());
		if (!this.ownership.mayWrite(System.nanoTime())) {
			return false;
		}
		long startNanos = System.nanoTime();
		long version = this.store.writeRoleChangeOwner(this.vm, this.ownership.expectedVersion());
		if (version < 0) {
			this.ownership.lost();
			return false;
		}
		this.ownership.written(version, startNanos);
		this.log.stateChange("turn to give orders", "fencingToken", version, "previousOwner", row.owner());
		return true;
	}

	private void order(RoleBalance.RoleChange change, EngineTraits traits) {
		RegisteredEndpoint engine = change.engine();
		long now = System.nanoTime();
		long token = this.ownership.token(now);
		if (token < 0) {
			return;
		}
		long expiresAtNanos = now + TimeUnit.MILLISECONDS.toNanos(traits.roleChangeMillis()) + ORDER_MARGIN_NANOS;
		this.issuedOrders.put(engine.id(), new IssuedOrder(change.role(), expiresAtNanos));
		try {
			EngineCalls.OrderOutcome outcome = this.engineCalls.changeRole(engine, change.role(), this.vm, token);
			this.log.stateChange("order", "engine", engine.id(), "phase", change.role(), "fencingToken", token,
					"outcome", outcome);
			if (outcome == EngineCalls.OrderOutcome.ACCEPTED) {
				this.roleChanges.begin(engine.id(), change.role(), expiresAtNanos);
			}
			if (outcome == EngineCalls.OrderOutcome.FENCED) {
				this.ownership.lost();
			}
		}
		catch (HttpException ex) {
			this.log.problem("engine " + engine.id() + " did not respond to a role-change order", ex);
		}
	}

	@Override
	public void close() {
		this.timer.shutdownNow();
	}

	/**
	 * Order that was given to an engine.
	 *
	 * @param role the new role
	 * @param expiresAtNanos time in nanoseconds after which it counts as failed
	 * @author banyanstile contributors
	 */
	private record IssuedOrder(EndpointRole role, long expiresAtNanos) {

	}

}
