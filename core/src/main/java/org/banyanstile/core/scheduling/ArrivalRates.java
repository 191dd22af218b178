package org.banyanstile.core.scheduling;

import java.util.Map;
import java.util.TreeMap;

/**
 * Tokens that the requests of each rank need, over the last seconds.
 *
 * @author banyanstile contributors
 */
final class ArrivalRates {

	/**
	 * Time in which the weight of a request falls to a third, in milliseconds.
	 */
	static final double WINDOW_MILLIS = 2000;

	private static final double NANOS_PER_MILLI = 1_000_000;

	private final TreeMap<Integer, Rate> rates = new TreeMap<>();

	void add(int priority, long tokens, long now) {
		Rate rate = this.rates.computeIfAbsent(priority, (rank) -> new Rate());
		rate.advance(now);
		rate.tokens += tokens;
	}

	void advance(long now) {
		this.rates.values().forEach((rate) -> rate.advance(now));
	}

	/**
	 * Returns the rate of the requests that arrive later and go before a request.
	 * @param priority its rank
	 * @param late whether it is late, so that requests of its rank go before it as well
	 * @param shares ranks as which the ranks are treated
	 * @return tokens per millisecond
	 */
	double precedingTokens(int priority, boolean late, RankShares shares) {
		int rank = shares.treatedAs(priority);
		double tokens = 0;
		for (Map.Entry<Integer, Rate> entry : this.rates.entrySet()) {
			int other = shares.treatedAs(entry.getKey());
			if (other < rank || (late && other == rank)) {
				tokens += entry.getValue().tokens;
			}
		}
		return tokens / WINDOW_MILLIS;
	}

	private static final class Rate {

		private double tokens;

		private long at;

		private void advance(long now) {
			this.tokens *= Math.exp((this.at - now) / NANOS_PER_MILLI / WINDOW_MILLIS);
			this.at = now;
		}

	}

}
