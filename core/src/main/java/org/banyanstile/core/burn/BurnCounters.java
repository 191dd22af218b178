package org.banyanstile.core.burn;

import java.util.HashMap;
import java.util.Map;

import org.banyanstile.core.common.DataCentreId;
import org.banyanstile.core.common.TeamId;
import org.jspecify.annotations.Nullable;

/**
 * Counts requests against the error budget, in memory that is independent of the number
 * of requests. Safe for use by several threads.
 *
 * @author banyanstile contributors
 */
public final class BurnCounters {

	/**
	 * Series that collects the requests of further keys once the largest number of series
	 * is reached.
	 */
	public static final BurnKey OTHER = new BurnKey(TeamId.of("other"), "other", DataCentreId.of("other"));

	private final Object lock = new Object();

	private final Map<BurnKey, BurnSeries> series = new HashMap<>();

	private final int maxSeries;

	private BurnCounters(int maxSeries) {
		this.maxSeries = maxSeries;
	}

	/**
	 * Creates the counters.
	 * @param maxSeries the number of series after which requests count as {@link #OTHER}
	 * @return the counters
	 */
	public static BurnCounters create(int maxSeries) {
		return new BurnCounters(maxSeries);
	}

	/**
	 * Counts a request that met the objective.
	 * @param key the series
	 * @param now the current time in nanoseconds
	 */
	public void good(BurnKey key, long now) {
		count(key, null, now);
	}

	/**
	 * Counts a request that missed the objective.
	 * @param key the series
	 * @param cause the first cause
	 * @param now the current time in nanoseconds
	 */
	public void bad(BurnKey key, Cause cause, long now) {
		count(key, cause, now);
	}

	/**
	 * Counts an event that uses error budget under a cause, independently of whether its
	 * request meets the objective.
	 * @param key the series
	 * @param cause the cause
	 * @param now the current time in nanoseconds
	 */
	public void event(BurnKey key, Cause cause, long now) {
		synchronized (this.lock) {
			series(key, now).event(cause, now);
		}
	}

	/**
	 * Returns the counts of all series in a window.
	 * @param window the window
	 * @param now the current time in nanoseconds
	 * @return the counts by series
	 */
	public Map<BurnKey, BurnReport> report(BurnWindow window, long now) {
		synchronized (this.lock) {
			Map<BurnKey, BurnReport> reports = new HashMap<>();
			this.series.forEach((key, counters) -> reports.put(key, counters.report(window, now)));
			return reports;
		}
	}

	private void count(BurnKey key, @Nullable Cause cause, long now) {
		synchronized (this.lock) {
			series(key, now).count(cause, now);
		}
	}

	private BurnSeries series(BurnKey key, long now) {
		BurnKey used = (this.series.containsKey(key) || this.series.size() < this.maxSeries) ? key : OTHER;
		return this.series.computeIfAbsent(used, (id) -> new BurnSeries(now));
	}

}
