package org.banyanstile.core.limit;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Request limits that endpoints in need name in their responses, and the share of this VM
 * in each. It answers loads above what slowed endpoints can take, in which each VM alone
 * would stay below the limit and all together would exceed it.
 * <p>
 * Only some VMs send to a limited endpoint, since each one that has a share can exceed it
 * by one request for a moment. Which ones differs from endpoint to endpoint, so that each
 * VM has a share in several of them. VMs pass on what endpoints named; the latest
 * response counts. Safe for use by several threads.
 *
 * @author banyanstile contributors
 */
public final class EndpointLimits {

	/**
	 * Limit of an endpoint that named none.
	 */
	public static final double UNLIMITED = -1;

	/**
	 * Lowest rate that is used. An endpoint without any request could not tell that its
	 * limit has ended.
	 */
	static final double MIN_PER_SECOND = 0.1;

	/**
	 * VMs that send to an endpoint, beside one for each request a second that it takes.
	 * With fewer, some VMs of a small fleet have no share in any of the limited
	 * endpoints.
	 */
	static final int MIN_SENDERS = 4;

	/**
	 * Part of a second for which a share accumulates, above one request. It lets through
	 * the bursts of random arrivals.
	 */
	static final double BURST_SECONDS = 0.25;

	/**
	 * Time after which a limit counts as ended if no response repeated it. Three times
	 * the interval between requests at the lowest rate.
	 */
	static final long FORGET_NANOS = TimeUnit.SECONDS.toNanos(30);

	/**
	 * Age up to which a response is passed on to other VMs. Twelve gossip rounds.
	 */
	static final long RECENT_NANOS = TimeUnit.SECONDS.toNanos(3);

	/**
	 * Largest number of endpoints in a message to another VM, some 30 bytes each.
	 */
	static final int MAX_REPORTED = 32;

	static final int MAX_ENDPOINTS = 4096;

	/**
	 * Longest id of an endpoint that is accepted, the longest key of the platform's
	 * store.
	 */
	static final int MAX_ID_LENGTH = 200;

	private static final double NANOS_PER_SECOND = 1e9;

	private final Map<String, Limit> limits = new HashMap<>();

	private int reportOffset;

	/**
	 * Records the limit that an endpoint named in a response.
	 * @param endpoint id of the endpoint
	 * @param perSecond the limit, {@link #UNLIMITED} if it named none
	 * @param now the current time in nanoseconds
	 * @return whether the limit differs from the one known before
	 */
	public synchronized boolean named(String endpoint, double perSecond, long now) {
		return update(endpoint, perSecond, now, now);
	}

	private boolean update(String endpoint, double perSecond, long namedAt, long now) {
		Limit known = this.limits.get(endpoint);
		if ((known == null && perSecond < 0) || (known != null && namedAt - known.namedAt <= 0)) {
			return false;
		}
		if (known == null) {
			known = new Limit(now);
			makeRoom(now);
			this.limits.put(endpoint, known);
		}
		boolean changed = known.perSecond != perSecond;
		known.perSecond = perSecond;
		known.namedAt = namedAt;
		return changed;
	}

	private void makeRoom(long now) {
		this.limits.values().removeIf((limit) -> now - limit.namedAt >= FORGET_NANOS);
		if (this.limits.size() >= MAX_ENDPOINTS) {
			this.limits.values().removeIf((limit) -> limit.perSecond < 0);
		}
		if (this.limits.size() >= MAX_ENDPOINTS) {
			this.limits.remove(this.limits.keySet().iterator().next());
		}
	}

	/**
	 * Takes a request from the share of this VM if the endpoint has a limit.
	 * @param endpoint id of the endpoint
	 * @param position position of this VM
	 * @param now the current time in nanoseconds
	 * @return whether the endpoint may get the request
	 */
	public synchronized boolean tryTake(String endpoint, FleetPosition position, long now) {
		Limit limit = this.limits.get(endpoint);
		if (limit == null || !limit.isInForce(now)) {
			return true;
		}
		double perSecond = Math.max(MIN_PER_SECOND, limit.perSecond);
		FleetPosition.Position own = position.of(endpoint);
		int senders = senders(perSecond, own.vms());
		return limit.tryTake((own.rank() < senders) ? perSecond / senders : 0, now);
	}

	private static int senders(double perSecond, int vms) {
		return (int) Math.min(vms, MIN_SENDERS + Math.floor(perSecond));
	}

	/**
	 * Returns the limit of an endpoint.
	 * @param endpoint id of the endpoint
	 * @param now the current time in nanoseconds
	 * @return the requests a second from all VMs, {@link #UNLIMITED} if it has no limit
	 */
	public synchronized double perSecond(String endpoint, long now) {
		Limit limit = this.limits.get(endpoint);
		return (limit != null && limit.isInForce(now)) ? limit.perSecond : UNLIMITED;
	}

	/**
	 * Returns what endpoints named last, to be sent to other VMs.
	 * @param now the current time in nanoseconds
	 * @return at most {@link #MAX_REPORTED} reports, others in the next call
	 */
	public synchronized List<LimitReport> reports(long now) {
		if (this.limits.isEmpty()) {
			return List.of();
		}
		List<LimitReport> recent = new ArrayList<>();
		this.limits.forEach((endpoint, limit) -> {
			if (now - limit.namedAt < RECENT_NANOS) {
				recent.add(new LimitReport(endpoint, limit.perSecond,
						TimeUnit.NANOSECONDS.toMillis(Math.max(0, now - limit.namedAt))));
			}
		});
		if (recent.size() <= MAX_REPORTED) {
			return recent;
		}
		List<LimitReport> reports = new ArrayList<>();
		for (int i = 0; i < MAX_REPORTED; i++) {
			reports.add(recent.get(Math.floorMod(this.reportOffset++, recent.size())));
		}
		return reports;
	}

	/**
	 * Merges the reports of another VM.
	 * @param reports the reports
	 * @param now the current time in nanoseconds
	 */
	public synchronized void merge(List<LimitReport> reports, long now) {
		for (LimitReport report : reports.subList(0, Math.min(MAX_REPORTED, reports.size()))) {
			long age = TimeUnit.MILLISECONDS.toNanos(Math.max(0, report.ageMillis()));
			if (age < FORGET_NANOS && Double.isFinite(report.perSecond())
					&& report.endpoint().length() <= MAX_ID_LENGTH) {
				update(report.endpoint(), report.perSecond(), now - age, now);
			}
		}
	}

	/**
	 * Limit of one endpoint, with the share of this VM.
	 *
	 * @author banyanstile contributors
	 */
	private static final class Limit {

		private double perSecond = UNLIMITED;

		private long namedAt;

		private double level = 1;

		private long refilledAt;

		private Limit(long now) {
			this.refilledAt = now;
		}

		private boolean isInForce(long now) {
			return this.perSecond >= 0 && now - this.namedAt < FORGET_NANOS;
		}

		private boolean tryTake(double share, long now) {
			double refill = Math.max(0, now - this.refilledAt) / NANOS_PER_SECOND * share;
			this.level = Math.min(Math.max(1, BURST_SECONDS * share), this.level + refill);
			this.refilledAt = now;
			if (share <= 0 || this.level < 1) {
				return false;
			}
			this.level -= 1;
			return true;
		}

	}

}
