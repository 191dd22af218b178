package org.banyanstile.core.scheduling;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/**
 * Order in which requests get memory. Requests that can still be on time come first, by
 * rank and then by the time that is left; a late response is worth a fraction of one on
 * time. A large request counts as having less time, since it takes longer until an engine
 * has room for it. Late requests follow by rank and arrival. One that has been late for
 * long comes before those of lower ranks, so that no rank is served less than a lower
 * one.
 *
 * @author banyanstile contributors
 */
final class QueueOrder {

	/**
	 * Time after which a late request comes before requests of lower ranks.
	 */
	static final double PROMOTION_MILLIS = 1000;

	/**
	 * Time that is taken off for each multiple of the usual size.
	 */
	static final double SIZE_MILLIS = 100;

	static final double MAX_SIZE_MILLIS = 300;

	private static final double SIZE_WEIGHT = 0.05;

	private static final int LATE = 1 << 20;

	private double usualTokens;

	void observe(long tokens) {
		this.usualTokens += (this.usualTokens == 0) ? tokens : SIZE_WEIGHT * (tokens - this.usualTokens);
	}

	/**
	 * Sorts requests.
	 * @param requests the requests
	 * @param startMillis expected time from the placement to the first event without the
	 * prefill
	 * @param tokensPerMilli speed of a prefill
	 * @param now the current time in nanoseconds
	 * @return the requests, first to be placed first
	 */
	List<WaitingRequest> sort(Collection<WaitingRequest> requests, double startMillis, double tokensPerMilli,
			long now) {
		List<Key> keys = new ArrayList<>(requests.size());
		for (WaitingRequest waiting : requests) {
			keys.add(key(waiting, startMillis + waiting.request().promptTokens() / tokensPerMilli, now));
		}
		keys.sort(Comparator.comparingInt(Key::group)
			.thenComparingDouble(Key::millis)
			.thenComparingLong((key) -> key.waiting().number()));
		return keys.stream().map(Key::waiting).toList();
	}

	private Key key(WaitingRequest waiting, double startMillis, long now) {
		GenerationRequest request = waiting.request();
		double slack = waiting.slackMillis(startMillis, now);
		if (slack >= 0) {
			double size = SIZE_MILLIS * (request.tokens() / Math.max(1, this.usualTokens) - 1);
			return new Key(waiting, 2 * request.priority(), slack - Math.max(0, Math.min(MAX_SIZE_MILLIS, size)));
		}
		double late = waiting.lateMillis(startMillis, now);
		int group = (late >= PROMOTION_MILLIS) ? 2 * request.priority() + 1 : LATE + request.priority();
		return new Key(waiting, group, -waiting.waitedMillis(now));
	}

	private record Key(WaitingRequest waiting, int group, double millis) {

	}

}
