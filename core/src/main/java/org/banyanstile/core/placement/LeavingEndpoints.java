package org.banyanstile.core.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;

import org.banyanstile.core.catalog.RegisteredEndpoint;

/**
 * Endpoints that said in a response that they leave. An endpoint can leave without a
 * change of its registration, or while the store cannot be read, so its own word counts
 * at once and for as long as it can live. It counts for one start of the endpoint: one
 * that starts again with the same id has not left. Not safe for use by several threads.
 *
 * @author banyanstile contributors
 */
public final class LeavingEndpoints {

	/**
	 * Time after which a notice is forgotten, many times as long as endpoints take to
	 * leave. An endpoint that is still registered then says so again.
	 */
	static final long FORGET_NANOS = TimeUnit.MINUTES.toNanos(10);

	/**
	 * Largest number of endpoints in a message to another VM, some 40 bytes each.
	 */
	static final int MAX_REPORTED = 32;

	static final int MAX_ENDPOINTS = 4096;

	/**
	 * Longest id of an endpoint that is accepted, the longest key of the platform's
	 * store.
	 */
	static final int MAX_ID_LENGTH = 200;

	/**
	 * Times of the notices in nanoseconds.
	 */
	private final Map<Start, Long> noticedAt = new HashMap<>();

	private int reportOffset;

	/**
	 * Merges notices that this VM received from endpoints or from other VMs.
	 * @param reports the notices
	 * @param now the current time in nanoseconds
	 * @return ids of the endpoints that were not known to leave
	 */
	public Set<String> merge(List<LeavingReport> reports, long now) {
		Set<String> added = new TreeSet<>();
		for (LeavingReport report : reports.subList(0, Math.min(MAX_REPORTED, reports.size()))) {
			long age = TimeUnit.MILLISECONDS.toNanos(Math.max(0, report.ageMillis()));
			if (age >= FORGET_NANOS || report.endpoint().length() > MAX_ID_LENGTH) {
				continue;
			}
			Start start = new Start(report.endpoint(), report.startMillis());
			if (!this.noticedAt.containsKey(start)) {
				makeRoom();
				added.add(report.endpoint());
			}
			this.noticedAt.merge(start, now - age, LeavingEndpoints::later);
		}
		return added;
	}

	private static long later(long one, long other) {
		return (one - other > 0) ? one : other;
	}

	private void makeRoom() {
		if (this.noticedAt.size() >= MAX_ENDPOINTS) {
			this.noticedAt.remove(this.noticedAt.keySet().iterator().next());
		}
	}

	/**
	 * Forgets notices whose time is over.
	 * @param now the current time in nanoseconds
	 * @return whether there were some
	 */
	public boolean forgetOld(long now) {
		return this.noticedAt.values().removeIf((at) -> now - at >= FORGET_NANOS);
	}

	/**
	 * Returns whether an endpoint has said that it leaves.
	 * @param endpoint the endpoint
	 * @return whether it has
	 */
	public boolean isLeaving(RegisteredEndpoint endpoint) {
		return !this.noticedAt.isEmpty() && this.noticedAt.containsKey(Start.of(endpoint));
	}

	/**
	 * Returns the notices that other VMs need: those of endpoints whose registration does
	 * not say that they leave.
	 * @param registered registered endpoints by id
	 * @param now the current time in nanoseconds
	 * @return at most {@link #MAX_REPORTED} notices, others in the next call
	 */
	public List<LeavingReport> reports(Map<String, RegisteredEndpoint> registered, long now) {
		List<LeavingReport> needed = new ArrayList<>();
		this.noticedAt.forEach((start, at) -> {
			RegisteredEndpoint endpoint = registered.get(start.endpoint());
			if (endpoint != null && endpoint.ready() && Start.of(endpoint).equals(start)) {
				needed.add(new LeavingReport(start.endpoint(), start.millis(),
						TimeUnit.NANOSECONDS.toMillis(Math.max(0, now - at))));
			}
		});
		if (needed.size() <= MAX_REPORTED) {
			return needed;
		}
		List<LeavingReport> reports = new ArrayList<>();
		for (int i = 0; i < MAX_REPORTED; i++) {
			reports.add(needed.get(Math.floorMod(this.reportOffset++, needed.size())));
		}
		return reports;
	}

	/**
	 * One start of an endpoint.
	 *
	 * @param endpoint id of the endpoint
	 * @param millis time of its start in milliseconds since 1970
	 * @author banyanstile contributors
	 */
	private record Start(String endpoint, long millis) {

		private static Start of(RegisteredEndpoint endpoint) {
			return new Start(endpoint.id(), endpoint.startMillis());
		}

	}

}
