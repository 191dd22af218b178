package org.banyanstile.core.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import org.banyanstile.core.catalog.EndpointRole;
import org.banyanstile.core.catalog.RegisteredEndpoint;

/**
 * Engines that carry out a role-change order. All VMs learn of the change from the VM
 * that sent the order. Until the change is complete, such an engine is still registered
 * with its old role, and it grants reservations but refuses requests. So requests that
 * arrive during the change must not be sent to it. Safe for use by several threads.
 *
 * @author banyanstile contributors
 */
public final class RoleChanges {

	/**
	 * A report with less remaining time is ignored, so that two VMs do not keep a
	 * completed change alive by reporting it to each other. One gossip round.
	 */
	static final long MIN_REPORTED_MILLIS = 250;

	private final Map<String, Change> changes = new HashMap<>();

	/**
	 * Records an accepted order.
	 * @param endpoint id of the engine
	 * @param role its new role
	 * @param until time in nanoseconds after which the order counts as lost
	 */
	public synchronized void begin(String endpoint, EndpointRole role, long until) {
		this.changes.put(endpoint, new Change(role, until));
	}

	/**
	 * Adds the changes that another VM reports.
	 * @param reports the changes that the VM knows
	 * @param now the current time in nanoseconds
	 */
	public synchronized void report(List<Report> reports, long now) {
		for (Report report : reports) {
			long until = now + TimeUnit.MILLISECONDS.toNanos(report.remainingMillis());
			if (report.remainingMillis() >= MIN_REPORTED_MILLIS && !this.changes.containsKey(report.endpoint())) {
				this.changes.put(report.endpoint(), new Change(report.role(), until));
			}
		}
	}

	/**
	 * Returns the changes that are in progress.
	 * @param now the current time in nanoseconds
	 * @return the changes with their remaining time
	 */
	public synchronized List<Report> pending(long now) {
		this.changes.values().removeIf((change) -> now - change.until() >= 0);
		List<Report> all = new ArrayList<>();
		this.changes.forEach((endpoint, change) -> all
			.add(new Report(endpoint, change.role(), TimeUnit.NANOSECONDS.toMillis(change.until() - now))));
		return all;
	}

	/**
	 * Returns whether an engine is changing its role, so that it takes no work.
	 * @param engine the engine as it is registered
	 * @param now the current time in nanoseconds
	 * @return whether it is
	 */
	public synchronized boolean isChanging(RegisteredEndpoint engine, long now) {
		Change change = this.changes.get(engine.id());
		return change != null && now - change.until() < 0 && change.role() != engine.role();
	}

	/**
	 * A change in progress, as reported to other VMs.
	 *
	 * @param endpoint id of the engine
	 * @param role its new role
	 * @param remainingMillis time in milliseconds after which the order counts as lost
	 * @author banyanstile contributors
	 */
	public record Report(String endpoint, EndpointRole role, long remainingMillis) {

	}

	/**
	 * A change in progress.
	 *
	 * @param role the new role
	 * @param until time in nanoseconds after which the order counts as lost
	 * @author banyanstile contributors
	 */
	private record Change(EndpointRole role, long until) {

	}

}
