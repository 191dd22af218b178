package org.banyanstile.core.scheduling;

import java.util.HashSet;
import java.util.Set;

/**
 * Request that waits for memory.
 *
 * @author banyanstile contributors
 */
final class WaitingRequest {

	private static final long NANOS_PER_MILLI = 1_000_000;

	private final GenerationRequest request;

	private final long number;

	private final long addedAt;

	private final Set<String> excludedEngines = new HashSet<>();

	private long onTimeAt;

	private long deadlineAt;

	private double expectedWaitMillis;

	private boolean waited;

	WaitingRequest(GenerationRequest request, long number, long now) {
		this.request = request;
		this.number = number;
		this.addedAt = now;
		this.onTimeAt = now + request.onTimeMillis() * NANOS_PER_MILLI;
		this.deadlineAt = now + request.deadlineMillis() * NANOS_PER_MILLI;
		this.excludedEngines.addAll(request.excludedEngines());
	}

	/**
	 * Takes over what a repeated message says. The copy of a message may be late, which
	 * must not extend the times.
	 * @param repeated the request
	 * @param now the current time in nanoseconds
	 */
	void renew(GenerationRequest repeated, long now) {
		this.onTimeAt = Math.min(this.onTimeAt, now + repeated.onTimeMillis() * NANOS_PER_MILLI);
		this.deadlineAt = Math.min(this.deadlineAt, now + repeated.deadlineMillis() * NANOS_PER_MILLI);
		this.excludedEngines.clear();
		this.excludedEngines.addAll(repeated.excludedEngines());
	}

	GenerationRequest request() {
		return this.request;
	}

	long number() {
		return this.number;
	}

	Set<String> excludedEngines() {
		return this.excludedEngines;
	}

	double waitedMillis(long now) {
		return (now - this.addedAt) / (double) NANOS_PER_MILLI;
	}

	double deadlineMillis(long now) {
		return (this.deadlineAt - now) / (double) NANOS_PER_MILLI;
	}

	/**
	 * Returns how long the request can wait and still be on time.
	 * @param startMillis expected time from the placement to the first event
	 * @param now the current time in nanoseconds
	 * @return the time in milliseconds, negative if it will be late
	 */
	double slackMillis(double startMillis, long now) {
		return (this.onTimeAt - now) / (double) NANOS_PER_MILLI - startMillis;
	}

	/**
	 * Returns since when the request can no longer be on time, at the earliest since its
	 * arrival.
	 * @param startMillis expected time from the placement to the first event
	 * @param now the current time in nanoseconds
	 * @return the time in milliseconds, negative if it can still be on time
	 */
	double lateMillis(double startMillis, long now) {
		return Math.min(-slackMillis(startMillis, now), waitedMillis(now));
	}

	double expectedWaitMillis() {
		return this.expectedWaitMillis;
	}

	void expectWait(double millis) {
		this.expectedWaitMillis = millis;
		this.waited = true;
	}

	boolean waited() {
		return this.waited;
	}

}
