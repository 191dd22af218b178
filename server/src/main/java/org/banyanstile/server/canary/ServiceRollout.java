package org.banyanstile.server.canary;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.UnaryOperator;

import org.banyanstile.core.canary.FleetEvidence;
import org.banyanstile.core.canary.RolloutOrder;
import org.banyanstile.core.canary.RolloutPhase;
import org.banyanstile.core.canary.RolloutStage;
import org.banyanstile.core.canary.RouteEvidence;
import org.banyanstile.core.catalog.EndpointRole;
import org.banyanstile.core.catalog.RegisteredEndpoint;
import org.jspecify.annotations.Nullable;

/**
 * Rollout of one service as this VM knows it: the stage, and the evidence of this and
 * other VMs. Safe for use by several threads.
 *
 * @author banyanstile contributors
 */
final class ServiceRollout {

	private final RolloutOrder order;

	private final long createdNanos;

	private final Map<String, RouteEvidence> ownRoutes = new TreeMap<>();

	private final Map<String, PeerReport> reports = new HashMap<>();

	private long requests;

	private long sentNew;

	private boolean withdrawn;

	private @Nullable RolloutStage stage;

	private long stageNanos;

	ServiceRollout(RolloutOrder order, long now) {
		this.order = order;
		this.createdNanos = now;
		this.stageNanos = now;
	}

	RolloutOrder order() {
		return this.order;
	}

	long createdNanos() {
		return this.createdNanos;
	}

	synchronized @Nullable RolloutStage stage() {
		return this.stage;
	}

	synchronized long stageNanos() {
		return this.stageNanos;
	}

	/**
	 * Takes over a stage unless a later one is known.
	 * @param other the stage
	 * @param now the current time in nanoseconds
	 * @return whether the stage has changed
	 */
	synchronized boolean adopt(RolloutStage other, long now) {
		if (other.order() != this.order.id() || !other.supersedes(this.stage)) {
			return false;
		}
		this.stage = other;
		this.stageNanos = now;
		return true;
	}

	synchronized void withdraw() {
		this.withdrawn = true;
	}

	synchronized boolean isWithdrawn() {
		return this.withdrawn;
	}

	synchronized boolean isCompleted() {
		return this.stage != null && this.stage.phase() == RolloutPhase.COMPLETED;
	}

	boolean isNew(RegisteredEndpoint endpoint) {
		return endpoint.version().equals(this.order.to());
	}

	// A withdrawn rollout that is not completed leaves its version without traffic.
	private @Nullable RolloutPhase phase() {
		RolloutPhase phase = (this.stage != null) ? this.stage.phase() : null;
		return (this.withdrawn && phase != RolloutPhase.COMPLETED) ? RolloutPhase.ROLLED_BACK : phase;
	}

	/**
	 * Counts a request and assigns a version to it.
	 * @param point a number from 0, inclusive, to 1, exclusive
	 * @param storeMillis time of the store
	 * @return the assignment
	 */
	synchronized VersionAssignment assign(double point, long storeMillis) {
		this.requests++;
		RolloutPhase phase = phase();
		boolean splits = phase == RolloutPhase.SAMPLE || phase == RolloutPhase.LOAD;
		return VersionAssignment
			.of(splits && this.stage != null && storeMillis <= this.stage.untilMillis() && point < this.stage.share());
	}

	/**
	 * Returns the endpoints that may get a request.
	 * @param candidates usable endpoints of one role
	 * @param assignment version that the request is assigned to
	 * @return the endpoints
	 */
	synchronized List<RegisteredEndpoint> allowed(List<RegisteredEndpoint> candidates, VersionAssignment assignment) {
		RolloutPhase phase = phase();
		RolloutStage current = this.stage;
		if (phase == RolloutPhase.COMPLETED && current != null) {
			return candidates.stream()
				.filter((endpoint) -> !current.oldVersions().contains(endpoint.version()))
				.toList();
		}
		List<RegisteredEndpoint> next = candidates.stream().filter(this::isNew).toList();
		List<RegisteredEndpoint> old = candidates.stream().filter((endpoint) -> !isNew(endpoint)).toList();
		if (phase == RolloutPhase.FULL) {
			return next.isEmpty() ? old : next;
		}
		if (phase == null || phase == RolloutPhase.ROLLED_BACK || current == null || !assignment.isNew()) {
			return old;
		}
		if (next.isEmpty() && candidates.stream().noneMatch((endpoint) -> endpoint.role() == EndpointRole.PREFILL)) {
			assignment.fallBack();
			return old;
		}
		return (phase == RolloutPhase.LOAD) ? concentrate(next, current.share()) : next;
	}

	// All VMs choose the same endpoints.
	private static List<RegisteredEndpoint> concentrate(List<RegisteredEndpoint> endpoints, double share) {
		return endpoints.stream()
			.sorted(Comparator.comparing(RegisteredEndpoint::id))
			.limit(Math.max(1, (long) Math.ceil(share * endpoints.size())))
			.toList();
	}

	/**
	 * Returns whether an endpoint that was chosen earlier may still get a request.
	 * @param endpoint the endpoint
	 * @return whether it may
	 */
	synchronized boolean isAllowed(RegisteredEndpoint endpoint) {
		RolloutPhase phase = phase();
		if (phase == RolloutPhase.COMPLETED && this.stage != null) {
			return !this.stage.oldVersions().contains(endpoint.version());
		}
		return !isNew(endpoint) || (phase != null && phase != RolloutPhase.ROLLED_BACK);
	}

	synchronized void sent(RegisteredEndpoint endpoint) {
		this.sentNew += isNew(endpoint) ? 1 : 0;
	}

	synchronized void record(RegisteredEndpoint endpoint, String route, UnaryOperator<RouteEvidence> change) {
		boolean isNew = isNew(endpoint);
		RouteEvidence known = this.ownRoutes.getOrDefault(isNew + route, RouteEvidence.none(route, isNew));
		this.ownRoutes.put(isNew + route, change.apply(known));
	}

	synchronized FleetEvidence ownEvidence() {
		return new FleetEvidence(this.requests, this.sentNew, List.copyOf(this.ownRoutes.values()));
	}

	/**
	 * Receives the report of another VM. Reports of one run of a VM only grow.
	 * @param vm name of the VM
	 * @param incarnation its start
	 * @param report the report
	 * @param now the current time in nanoseconds
	 */
	synchronized void report(String vm, long incarnation, VmEvidence report, long now) {
		PeerReport known = this.reports.get(vm);
		if (known != null && known.incarnation() == incarnation
				&& known.report().evidence().requests() > report.evidence().requests()) {
			return;
		}
		if (known != null && known.incarnation() < incarnation) {
			// Responses that the earlier run of the VM reported remain evidence.
			this.reports.put(vm + ' ' + known.incarnation(), known);
		}
		if (known == null || known.incarnation() <= incarnation) {
			this.reports.put(vm, new PeerReport(incarnation, report, now));
		}
	}

	synchronized FleetEvidence fleetEvidence() {
		List<FleetEvidence> all = new ArrayList<>();
		all.add(ownEvidence());
		this.reports.values().forEach((report) -> all.add(report.report().evidence()));
		return FleetEvidence.sum(all);
	}

	/**
	 * Returns whether all VMs have reported, in the full phase, that no request of the
	 * old version is running.
	 * @param vms names of the other live VMs
	 * @param maxAgeNanos largest age of a report
	 * @param now the current time in nanoseconds
	 * @return whether they have
	 */
	synchronized boolean areIdle(Set<String> vms, long maxAgeNanos, long now) {
		return vms.stream().allMatch((vm) -> {
			PeerReport peer = this.reports.get(vm);
			RolloutStage seen = (peer != null) ? peer.report().stage() : null;
			return peer != null && seen != null && seen.phase() == RolloutPhase.FULL && peer.report().oldRunning() == 0
					&& now - peer.nanos() <= maxAgeNanos;
		});
	}

	Set<String> oldVersions(Iterable<RegisteredEndpoint> endpoints) {
		Set<String> versions = new TreeSet<>();
		for (RegisteredEndpoint endpoint : endpoints) {
			if (endpoint.service().equals(this.order.service()) && !isNew(endpoint)) {
				versions.add(endpoint.version());
			}
		}
		return versions;
	}

	/**
	 * Report of another VM.
	 *
	 * @param incarnation start of the VM
	 * @param report the report
	 * @param nanos time of its arrival
	 * @author banyanstile contributors
	 */
	private record PeerReport(long incarnation, VmEvidence report, long nanos) {

	}

}
