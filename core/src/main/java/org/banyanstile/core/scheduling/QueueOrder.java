package org.banyanstile.core.scheduling;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/**
 * Order in which requests get memory. Requests that can still be on time come first, by
 * rank and then by the time that is left; a late response is worth a fraction of one on
 * time. Late requests follow by rank and arrival. One that has been late for long comes
 * before those of lower ranks, so that no rank is served less than a lower one.
 *
 * @author banyanstile contributors
 */
final class QueueOrder {

	/**
	 * Time after which a late request comes before requests of lower ranks.
	 */
	static final double PROMOTION_MILLIS = 1000;

	private static final int GROUPS = 4;

	private static final int LATE = 1 << 20;

	private final RankShares shares;

	QueueOrder(RankShares shares) {
		this.shares = shares;
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
		int group = GROUPS * this.shares.treatedAs(request.priority()) + (this.shares.goesFirst(request) ? 0 : 1);
		double slack = waiting.slackMillis(startMillis, now);
		if (slack >= 0) {
			return new Key(waiting, group, (group % GROUPS == 0) ? -request.tokens() : slack);
		}
		boolean promoted = waiting.lateMillis(startMillis, now) >= PROMOTION_MILLIS;
		return new Key(waiting, group + (promoted ? 2 : LATE), -waiting.waitedMillis(now));
	}

	private record Key(WaitingRequest waiting, int group, double millis) {

	}

}
