package org.banyanstile.core.scheduling;

import java.util.Map;
import java.util.TreeMap;

/**
 * Shares of the requests of each rank and size that are placed in time. A rank says who
 * goes first, not that the others get nothing: while a rank gets much less than the next
 * higher one, its requests are treated as those of the higher rank. While the large
 * requests of a rank get less than its others, they go first.
 *
 * @author banyanstile contributors
 */
final class RankShares {

	/**
	 * Least share of a rank relative to the share of the next higher one.
	 */
	static final double MIN_SHARE = 0.75;

	/**
	 * Value of a placement that is late relative to one that is in time.
	 */
	static final double LATE_VALUE = 0.2;

	/**
	 * Size of a large request relative to the usual size.
	 */
	static final double LARGE_FACTOR = 1.5;

	/**
	 * Share of the large requests relative to that of the others up to which they go
	 * first. Above 1, since the very largest get less than the others of their class.
	 */
	static final double LARGE_SHARE = 1.1;

	/**
	 * Time in which the weight of a decision falls to a third, in milliseconds.
	 */
	static final double WINDOW_MILLIS = 5000;

	private static final double SIZE_WEIGHT = 0.05;

	private static final double NANOS_PER_MILLI = 1_000_000;

	private final TreeMap<Integer, Rank> ranks = new TreeMap<>();

	private double usualTokens;

	void arrived(long tokens) {
		this.usualTokens += (this.usualTokens == 0) ? tokens : SIZE_WEIGHT * (tokens - this.usualTokens);
	}

	void decided(GenerationRequest request, double value, long now) {
		Rank rank = this.ranks.computeIfAbsent(request.priority(), Rank::new);
		rank.all.add(request.tokens(), value, now);
		(isLarge(request) ? rank.large : rank.others).add(request.tokens(), value, now);
	}

	/**
	 * Decides anew which ranks are treated as a higher one.
	 */
	void update() {
		Rank higher = null;
		int treatedAs = 0;
		for (Map.Entry<Integer, Rank> entry : this.ranks.entrySet()) {
			Rank rank = entry.getValue();
			boolean raised = higher != null && rank.all.value() < MIN_SHARE * higher.all.value();
			treatedAs = raised ? treatedAs : entry.getKey();
			rank.treatedAs = treatedAs;
			higher = rank;
		}
	}

	/**
	 * Returns the rank as which a rank is treated.
	 * @param priority the rank
	 * @return the same or a higher rank
	 */
	int treatedAs(int priority) {
		Rank rank = this.ranks.get(priority);
		return (rank != null) ? rank.treatedAs : priority;
	}

	/**
	 * Returns whether a request goes before others of its rank because of its size.
	 * @param request the request
	 * @return whether it goes first
	 */
	boolean goesFirst(GenerationRequest request) {
		Rank rank = this.ranks.get(request.priority());
		return rank != null && isLarge(request) && rank.large.value() < LARGE_SHARE * rank.others.value();
	}

	private boolean isLarge(GenerationRequest request) {
		return request.tokens() > LARGE_FACTOR * this.usualTokens;
	}

	private static final class Rank {

		private final Share all = new Share();

		private final Share large = new Share();

		private final Share others = new Share();

		private int treatedAs;

		private Rank(int priority) {
			this.treatedAs = priority;
		}

	}

	private static final class Share {

		private double asked;

		private double got;

		private long at;

		private void add(long tokens, double value, long now) {
			double kept = Math.exp((this.at - now) / NANOS_PER_MILLI / WINDOW_MILLIS);
			this.asked = this.asked * kept + tokens;
			this.got = this.got * kept + value * tokens;
			this.at = now;
		}

		private double value() {
			return (this.asked > 0) ? this.got / this.asked : 1;
		}

	}

}
