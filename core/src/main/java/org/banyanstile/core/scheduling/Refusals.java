package org.banyanstile.core.scheduling;

import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.Map;

import org.jspecify.annotations.Nullable;

/**
 * Decides which waiting requests are refused. A request is refused as soon as its
 * expected wait makes it useless, on arrival if that is known then: its caller can try
 * elsewhere, and the memory goes to a request that needs it. Remembers its refusals for a
 * moment, since a refusal may be lost and the request repeated.
 *
 * @author banyanstile contributors
 */
final class Refusals {

	/**
	 * Time after the latest useful start for which a late response is still useful.
	 */
	static final double USEFUL_LATE_MILLIS = 2000;

	/**
	 * Excess of an estimate over the remaining time that is tolerated once a request
	 * waits, so that an estimate that fluctuates does not refuse it.
	 */
	static final double TOLERANCE = 1.25;

	static final double TOLERANCE_MILLIS = 100;

	/**
	 * Period over which the returns of refused callers are spread.
	 */
	static final double SPREAD_MILLIS = 4000;

	static final long MIN_RETRY_MILLIS = 100;

	private static final long REMEMBERED_NANOS = 1_000_000_000;

	private static final double NANOS_PER_MILLI = 1_000_000;

	private final Map<Reason, Long> counts = new EnumMap<>(Reason.class);

	private final Map<String, Remembered> recent = new LinkedHashMap<>();

	private long nextReturnAt;

	/**
	 * Returns why a request should be refused.
	 * @param waiting the request
	 * @param expectedWait its expected wait in milliseconds
	 * @param startMillis expected time from the placement to the first event
	 * @param streamMillis expected duration of the stream
	 * @param now the current time in nanoseconds
	 * @return the reason, or {@code null} if it should wait
	 */
	static @Nullable Reason reason(WaitingRequest waiting, double expectedWait, double startMillis, double streamMillis,
			long now) {
		double useful = USEFUL_LATE_MILLIS - waiting.lateMillis(startMillis, now);
		double deadline = waiting.deadlineMillis(now) - startMillis - streamMillis;
		double remaining = Math.min(useful, deadline);
		double limit = waiting.waited() ? TOLERANCE * remaining + TOLERANCE_MILLIS : remaining;
		if (remaining > 0 && expectedWait <= limit) {
			return null;
		}
		return (deadline < useful) ? Reason.DEADLINE : Reason.LATE;
	}

	/**
	 * Refuses a request. Callers are asked to return when memory is expected for them,
	 * and one after the other, as memory becomes free.
	 * @param waiting the request
	 * @param reason the reason
	 * @param expectedWait its expected wait in milliseconds
	 * @param turnoverMillis time in which the engines free the memory that it needs
	 * @param now the current time in nanoseconds
	 * @return the refusal
	 */
	SchedulingRefusal refuse(WaitingRequest waiting, Reason reason, double expectedWait, double turnoverMillis,
			long now) {
		this.counts.merge(reason, 1L, Long::sum);
		double wait = Math.min(expectedWait, SPREAD_MILLIS);
		double next = (this.nextReturnAt - now) / NANOS_PER_MILLI;
		if (next < wait || next > wait + SPREAD_MILLIS) {
			next = wait;
		}
		this.nextReturnAt = now + (long) ((next + turnoverMillis) * NANOS_PER_MILLI);
		// Callers honour at most a third of the time that they have left.
		double longest = Math.max(0, waiting.deadlineMillis(now)) / 3;
		long retryAfter = Math.max(MIN_RETRY_MILLIS, (long) Math.min(next, longest));
		SchedulingRefusal refusal = new SchedulingRefusal(waiting.request().id(), waiting.request().vm(), retryAfter);
		this.recent.put(refusal.requestId(), new Remembered(refusal, now));
		return refusal;
	}

	@Nullable
	SchedulingRefusal recent(String requestId) {
		Remembered remembered = this.recent.get(requestId);
		return (remembered != null) ? remembered.refusal() : null;
	}

	void expire(long now) {
		this.recent.values().removeIf((remembered) -> now - remembered.at() > REMEMBERED_NANOS);
	}

	long count(Reason reason) {
		return this.counts.getOrDefault(reason, 0L);
	}

	/**
	 * Reason for a refusal.
	 *
	 * @author banyanstile contributors
	 */
	enum Reason {

		/**
		 * No engine could hold the request.
		 */
		TOO_LARGE,

		/**
		 * The response would be late beyond use.
		 */
		LATE,

		/**
		 * The deadline would pass.
		 */
		DEADLINE

	}

	private record Remembered(SchedulingRefusal refusal, long at) {

	}

}
