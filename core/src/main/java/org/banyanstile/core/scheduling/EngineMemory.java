package org.banyanstile.core.scheduling;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

import org.banyanstile.core.catalog.RegisteredEndpoint;

/**
 * Memory of a decode engine and the requests that use it.
 *
 * @author banyanstile contributors
 */
final class EngineMemory {

	/**
	 * Time for which an engine counts as full after it refused a reservation, unless one
	 * of its requests ends.
	 */
	static final long FULL_NANOS = 200_000_000;

	/**
	 * Limits the pause of an engine that refuses again and again, to 1.6 s.
	 */
	private static final int MAX_DOUBLINGS = 3;

	private static final double NANOS_PER_MILLI = 1_000_000;

	private final String id;

	private final List<Placed> requests = new ArrayList<>();

	private List<Release> releases = List.of();

	private long releasesAt;

	private String dataCentre = "";

	private int capacity;

	private long memoryTokens;

	private long usedTokens;

	private long fullUntil;

	private boolean full;

	private int refusals;

	EngineMemory(String id) {
		this.id = id;
	}

	void update(RegisteredEndpoint engine, long tokens) {
		this.dataCentre = engine.dataCentre();
		this.capacity = engine.capacity();
		this.memoryTokens = tokens;
	}

	String id() {
		return this.id;
	}

	String dataCentre() {
		return this.dataCentre;
	}

	int streams() {
		return this.requests.size();
	}

	boolean isEmpty() {
		return this.requests.isEmpty();
	}

	long memoryTokens() {
		return this.memoryTokens;
	}

	long usedTokens() {
		return this.usedTokens;
	}

	void add(Placed placed) {
		this.requests.add(placed);
		this.releases = List.of();
		this.usedTokens += placed.tokens();
	}

	void remove(Placed placed) {
		if (this.requests.remove(placed)) {
			this.usedTokens -= placed.tokens();
			this.full &= this.refusals > 1;
			this.releases = List.of();
		}
	}

	/**
	 * Records that the engine refused a reservation or did not respond to it. An engine
	 * that does so again after its pause has probably failed, so the pause doubles.
	 * @param now the current time in nanoseconds
	 */
	void refused(long now) {
		if (!this.full || now - this.fullUntil >= 0) {
			this.refusals++;
		}
		this.full = true;
		this.fullUntil = now + (FULL_NANOS << Math.min(this.refusals - 1, MAX_DOUBLINGS));
	}

	/**
	 * Records that a stream of the engine had events, so that it has not failed.
	 */
	void served() {
		this.refusals = 0;
	}

	boolean isFull(long now) {
		return (this.full && now - this.fullUntil < 0) || (this.capacity > 0 && this.requests.size() >= this.capacity);
	}

	/**
	 * Returns the time until an engine is expected to have room.
	 * @param tokens tokens that are needed
	 * @param times expected durations of streams
	 * @param now the current time in nanoseconds
	 * @return the time in milliseconds, infinite if the request never fits
	 */
	double roomMillis(long tokens, StreamTimes times, long now) {
		if (tokens > this.memoryTokens) {
			return Double.POSITIVE_INFINITY;
		}
		double wait = isFull(now) ? Math.max(1, (this.fullUntil - now) / NANOS_PER_MILLI) : 0;
		long free = this.memoryTokens - this.usedTokens;
		if (free >= tokens) {
			return wait;
		}
		for (Release release : releases(times, now)) {
			free += release.tokens();
			if (free >= tokens) {
				return release.millis();
			}
		}
		return wait;
	}

	/**
	 * Returns when memory is expected to become free.
	 * @param times expected durations of streams
	 * @param now the current time in nanoseconds
	 * @return the releases, earliest first
	 */
	List<Release> releases(StreamTimes times, long now) {
		if (this.releases.size() == this.requests.size() && this.releasesAt == now) {
			return this.releases;
		}
		List<Release> sorted = new ArrayList<>(this.requests.size());
		double tokenMillis = times.tokenMillis(this.id);
		for (Placed placed : this.requests) {
			sorted.add(new Release(times.remainingMillis(placed, tokenMillis, now), placed.tokens()));
		}
		sorted.sort(Comparator.comparingDouble(Release::millis));
		this.releases = sorted;
		this.releasesAt = now;
		return sorted;
	}

	/**
	 * Returns the memory that is expected to be free at a time.
	 * @param millis time from now
	 * @param times expected durations of streams
	 * @param now the current time in nanoseconds
	 * @return the tokens
	 */
	long freeTokensAfter(double millis, StreamTimes times, long now) {
		long free = this.memoryTokens - this.usedTokens;
		for (Release release : releases(times, now)) {
			if (release.millis() <= millis) {
				free += release.tokens();
			}
		}
		return free;
	}

	/**
	 * Memory that becomes free.
	 *
	 * @param millis expected time from now
	 * @param tokens its tokens
	 */
	record Release(double millis, long tokens) {

	}

}
