package org.banyanstile.core.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import org.banyanstile.core.catalog.EndpointPhase;
import org.banyanstile.core.catalog.RegisteredEndpoint;

/**
 * Engines that carry out an order to change their part, as all VMs learn it from the one
 * that gave the order. Until it is done such an engine still stands in the registry with
 * its old part, grants reservations and refuses requests. Answers the load in which parts
 * are changed while requests come. Safe for use by several threads.
 *
 * @author banyanstile contributors
 */
public final class PhaseChanges {

	/**
	 * A report with less time left is not taken over, so that two VMs do not keep an
	 * ended change alive by telling each other of it. One round between VMs.
	 */
	static final long MIN_REPORTED_MILLIS = 250;

	private final Map<String, Change> changes = new HashMap<>();

	/**
	 * Notes an accepted order.
	 * @param endpoint id of the engine
	 * @param phase its new part
	 * @param until time in nanoseconds after which the order counts as lost
	 */
	public synchronized void begin(String endpoint, EndpointPhase phase, long until) {
		this.changes.put(endpoint, new Change(phase, until));
	}

	/**
	 * Takes over what another VM knows.
	 * @param reports its changes
	 * @param now the current time in nanoseconds
	 */
	public synchronized void report(List<Report> reports, long now) {
		for (Report report : reports) {
			long until = now + TimeUnit.MILLISECONDS.toNanos(report.leftMillis());
			if (report.leftMillis() >= MIN_REPORTED_MILLIS && !this.changes.containsKey(report.endpoint())) {
				this.changes.put(report.endpoint(), new Change(report.phase(), until));
			}
		}
	}

	/**
	 * Returns the changes that go on.
	 * @param now the current time in nanoseconds
	 * @return the changes with the time that is left
	 */
	public synchronized List<Report> pending(long now) {
		this.changes.values().removeIf((change) -> now - change.until() >= 0);
		List<Report> all = new ArrayList<>();
		this.changes.forEach((endpoint, change) -> all
			.add(new Report(endpoint, change.phase(), TimeUnit.NANOSECONDS.toMillis(change.until() - now))));
		return all;
	}

	/**
	 * Returns whether an engine is changing its part, so that it takes no work.
	 * @param engine the engine as it is registered
	 * @param now the current time in nanoseconds
	 * @return whether it is
	 */
	public synchronized boolean isChanging(RegisteredEndpoint engine, long now) {
		Change change = this.changes.get(engine.id());
		return change != null && now - change.until() < 0 && change.phase() != engine.phase();
	}

	/**
	 * A change that goes on.
	 *
	 * @param endpoint id of the engine
	 * @param phase its new part
	 * @param leftMillis time in milliseconds after which the order counts as lost
	 * @author banyanstile contributors
	 */
	public record Report(String endpoint, EndpointPhase phase, long leftMillis) {

	}

	/**
	 * A change.
	 *
	 * @param phase the new part
	 * @param until time in nanoseconds after which the order counts as lost
	 * @author banyanstile contributors
	 */
	private record Change(EndpointPhase phase, long until) {

	}

}
