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

	private static final double NANOS_PER_MILLI = 1_000_000;

	private final String id;

	private final List<Placed> requests = new ArrayList<>();

	private String dataCentre = "";

	private int capacity;

	private long memoryTokens;

	private long usedTokens;

	private long fullUntil;

	private boolean full;

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

	List<Placed> requests() {
		return this.requests;
	}

	void add(Placed placed) {
		this.requests.add(placed);
		this.usedTokens += placed.tokens();
	}

	void remove(Placed placed) {
		if (this.requests.remove(placed)) {
			this.usedTokens -= placed.tokens();
			this.full = false;
		}
	}

	void refused(long now) {
		this.full = true;
		this.fullUntil = now + FULL_NANOS;
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
		List<Release> releases = new ArrayList<>(this.requests.size());
		for (Placed placed : this.requests) {
			releases.add(new Release(times.remainingMillis(placed, now), placed.tokens()));
		}
		releases.sort(Comparator.comparingDouble(Release::millis));
		for (Release release : releases) {
			free += release.tokens();
			if (free >= tokens) {
				return release.millis();
			}
		}
		return wait;
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
		for (Placed placed : this.requests) {
			if (times.remainingMillis(placed, now) <= millis) {
				free += placed.tokens();
			}
		}
		return free;
	}

	private record Release(double millis, long tokens) {

	}

}
