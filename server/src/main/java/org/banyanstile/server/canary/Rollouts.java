package org.banyanstile.server.canary;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;

import org.banyanstile.core.canary.RolloutOrder;
import org.banyanstile.core.canary.RolloutPhase;
import org.banyanstile.core.canary.RolloutStage;
import org.banyanstile.core.canary.RouteEvidence;
import org.banyanstile.core.canary.TimeCounts;
import org.banyanstile.core.catalog.RegisteredEndpoint;
import org.banyanstile.core.common.Ticker;
import org.banyanstile.core.placement.EndpointLoads;
import org.banyanstile.server.router.DecisionLog;
import org.banyanstile.server.view.FleetTable;
import org.banyanstile.server.view.FleetView;
import org.jspecify.annotations.Nullable;

/**
 * Rollouts of all services on this VM. Without a rollout of a service its versions play
 * no role. Safe for use by several threads.
 *
 * @author banyanstile contributors
 */
public final class Rollouts {

	/**
	 * Time after the last stage in which it is still sent to other VMs.
	 */
	private static final long REPORT_FINAL_NANOS = 15_000_000_000L;

	private final Map<String, ServiceRollout> rollouts = new ConcurrentHashMap<>();

	private final FleetView view;

	private final EndpointLoads loads;

	private final Ticker ticker;

	private final DecisionLog log;

	private Rollouts(FleetView view, EndpointLoads loads, Ticker ticker, DecisionLog log) {
		this.view = view;
		this.loads = loads;
		this.ticker = ticker;
		this.log = log;
	}

	/**
	 * Creates the rollouts of a VM, which follow the rows of its view.
	 * @param view copy of the store's tables
	 * @param loads running requests
	 * @param ticker time source
	 * @param log log of changes
	 * @return the rollouts
	 */
	public static Rollouts create(FleetView view, EndpointLoads loads, Ticker ticker, DecisionLog log) {
		Rollouts rollouts = new Rollouts(view, loads, ticker, log);
		view.onChange(rollouts::update);
		return rollouts;
	}

	private synchronized void update(FleetTable table) {
		if (table != FleetTable.OPERATOR) {
			return;
		}
		Map<String, RolloutOrder> orders = this.view.snapshot().rollouts();
		orders.forEach((service, order) -> {
			ServiceRollout known = this.rollouts.get(service);
			if (known == null || known.order().id() != order.id()) {
				this.rollouts.put(service, new ServiceRollout(order, this.ticker.nanos()));
			}
		});
		this.rollouts.forEach((service, rollout) -> {
			if (!orders.containsKey(service)) {
				rollout.withdraw();
			}
		});
	}

	// An order can be known from the view before its listener has run, so requests look
	// here as well.
	private @Nullable ServiceRollout rollout(String service) {
		RolloutOrder order = this.view.snapshot().rollouts().get(service);
		ServiceRollout known = this.rollouts.get(service);
		if (order != null && (known == null || known.order().id() != order.id())) {
			update(FleetTable.OPERATOR);
			known = this.rollouts.get(service);
		}
		return known;
	}

	/**
	 * Returns whether the operator has ordered a rollout of a service, whatever its
	 * stage.
	 * @param service name of the service
	 * @return whether there is an order
	 */
	public boolean hasOrder(String service) {
		return rollout(service) != null;
	}

	Collection<ServiceRollout> all() {
		return this.rollouts.values();
	}

	/**
	 * Counts a request and assigns a version to it.
	 * @param service name of the service
	 * @return the assignment
	 */
	public VersionAssignment assign(String service) {
		ServiceRollout rollout = rollout(service);
		return (rollout != null) ? rollout.assign(ThreadLocalRandom.current().nextDouble(), this.view.storeNowMillis())
				: VersionAssignment.of(false);
	}

	/**
	 * Returns the endpoints that may get a request.
	 * @param service name of the service
	 * @param candidates usable endpoints of one role
	 * @param assignment version that the request is assigned to
	 * @return the endpoints
	 */
	public List<RegisteredEndpoint> allowed(String service, List<RegisteredEndpoint> candidates,
			VersionAssignment assignment) {
		ServiceRollout rollout = rollout(service);
		return (rollout != null) ? rollout.allowed(candidates, assignment) : candidates;
	}

	/**
	 * Returns whether an endpoint that was chosen earlier may still get a request.
	 * @param endpoint the endpoint
	 * @return whether it may
	 */
	public boolean isAllowed(RegisteredEndpoint endpoint) {
		ServiceRollout rollout = rollout(endpoint.service());
		return rollout == null || rollout.isAllowed(endpoint);
	}

	/**
	 * Records that a request is about to be sent to an endpoint.
	 * @param endpoint the endpoint
	 */
	public void sent(RegisteredEndpoint endpoint) {
		ServiceRollout rollout = rollout(endpoint.service());
		if (rollout != null) {
			rollout.sent(endpoint);
		}
	}

	/**
	 * Records the time to the first byte or event of a response, or the time for which
	 * none has arrived when the request ends. Cold endpoints are slow whatever their
	 * version.
	 * @param endpoint the endpoint
	 * @param route name of the route
	 * @param millis time since the request was sent
	 */
	public void began(RegisteredEndpoint endpoint, String route, long millis) {
		ServiceRollout rollout = rollout(endpoint.service());
		if (rollout != null && !this.view.isCold(endpoint.id())) {
			rollout.record(endpoint, route, (known) -> known
				.plus(new RouteEvidence(route, known.isNew(), 0, 0, 0, TimeCounts.NONE.with(millis), TimeCounts.NONE)));
		}
	}

	/**
	 * Records the end of a request that an endpoint ran.
	 * @param endpoint the endpoint
	 * @param route name of the route
	 * @param outcome how it ended
	 * @param millis time since the request was sent
	 */
	public void ended(RegisteredEndpoint endpoint, String route, RunOutcome outcome, long millis) {
		ServiceRollout rollout = rollout(endpoint.service());
		if (rollout == null) {
			return;
		}
		boolean timed = outcome == RunOutcome.ANSWERED && !this.view.isCold(endpoint.id());
		rollout.record(endpoint, route,
				(known) -> known.plus(new RouteEvidence(route, known.isNew(), 1, (outcome == RunOutcome.FAILED) ? 1 : 0,
						(outcome == RunOutcome.BROKEN) ? 1 : 0, TimeCounts.NONE,
						timed ? TimeCounts.NONE.with(millis) : TimeCounts.NONE)));
	}

	/**
	 * Returns the reports of this VM on rollouts that are not over.
	 * @return the reports
	 */
	public List<VmEvidence> reports() {
		List<VmEvidence> reports = new ArrayList<>();
		long now = this.ticker.nanos();
		for (ServiceRollout rollout : this.rollouts.values()) {
			RolloutStage stage = rollout.stage();
			boolean over = rollout.isWithdrawn()
					|| (stage != null && stage.phase().isFinal() && now - rollout.stageNanos() > REPORT_FINAL_NANOS);
			if (!over) {
				reports.add(new VmEvidence(rollout.order().service(), rollout.order().id(), oldRunning(rollout), stage,
						rollout.ownEvidence()));
			}
		}
		return reports;
	}

	/**
	 * Returns the requests of this VM that run on endpoints of the old version.
	 * @param rollout the rollout
	 * @return the number of requests
	 */
	int oldRunning(ServiceRollout rollout) {
		Map<String, RegisteredEndpoint> endpoints = this.view.snapshot().all();
		return this.loads.own().stream().filter((load) -> {
			RegisteredEndpoint endpoint = endpoints.get(load.endpoint());
			return endpoint != null && endpoint.service().equals(rollout.order().service()) && !rollout.isNew(endpoint);
		}).mapToInt(EndpointLoads.Load::requests).sum();
	}

	/**
	 * Receives the report of another VM.
	 * @param vm name of the VM
	 * @param incarnation its start
	 * @param report the report
	 */
	public void received(String vm, long incarnation, VmEvidence report) {
		ServiceRollout rollout = rollout(report.service());
		if (rollout == null || rollout.order().id() != report.order()) {
			return;
		}
		rollout.report(vm, incarnation, report, this.ticker.nanos());
		RolloutStage stage = report.stage();
		if (stage != null) {
			adopt(rollout, stage, "reported by " + vm);
		}
	}

	/**
	 * Takes over a stage unless a later one is known.
	 * @param rollout the rollout
	 * @param stage the stage
	 * @param reason why, for the log
	 * @return whether the stage has changed
	 */
	boolean adopt(ServiceRollout rollout, RolloutStage stage, String reason) {
		RolloutStage earlier = rollout.stage();
		boolean changed = rollout.adopt(stage, this.ticker.nanos());
		if (changed && (earlier == null || earlier.phase() != stage.phase() || stage.phase() != RolloutPhase.SAMPLE)) {
			this.log.stateChange("rollout stage", "service", rollout.order().service(), "to", rollout.order().to(),
					"phase", stage.phase(), "share", stage.share(), "reason", reason);
		}
		return changed;
	}

}
