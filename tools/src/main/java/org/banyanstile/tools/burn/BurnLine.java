package org.banyanstile.tools.burn;

import java.util.EnumMap;
import java.util.Map;

import com.fasterxml.jackson.annotation.JsonInclude;
import org.banyanstile.config.api.BurnCause;
import org.banyanstile.config.api.BurnSeries;
import org.banyanstile.config.api.BurnWindow;
import org.jspecify.annotations.Nullable;

/**
 * Use of error budget in one group over one window. A burn rate of 1 uses exactly the
 * whole budget.
 *
 * @param window the window
 * @param dimension criterion by which the counts are grouped
 * @param name name of the group
 * @param requests requests that ended in the window
 * @param causes how many of them used up error budget, by cause
 * @param burnRate the highest burn rate of a cause
 * @param worst the cause with that rate, {@code null} if none occurred
 * @author banyanstile contributors
 */
@JsonInclude(JsonInclude.Include.NON_NULL)
public record BurnLine(BurnWindow window, BurnDimension dimension, String name, long requests,
		Map<BurnCause, Long> causes, double burnRate, @Nullable BurnCause worst) {

	static BurnLine of(BurnWindow window, BurnDimension dimension, String name, Iterable<BurnSeries> series) {
		long total = 0;
		Map<BurnCause, Long> counts = new EnumMap<>(BurnCause.class);
		for (BurnSeries each : series) {
			total += each.requests();
			each.causes().forEach((cause, n) -> counts.merge(cause, n, Long::sum));
		}
		BurnCause most = null;
		double highest = 0;
		for (BurnCause cause : BurnCause.values()) {
			double rate = rate(total, counts, cause);
			if (rate > highest) {
				highest = rate;
				most = cause;
			}
		}
		return new BurnLine(window, dimension, name, total, counts, highest, most);
	}

	/**
	 * Returns the burn rate of a cause.
	 * @param cause the cause
	 * @return the rate
	 */
	public double rate(BurnCause cause) {
		return rate(this.requests, this.causes, cause);
	}

	private static double rate(long total, Map<BurnCause, Long> counts, BurnCause cause) {
		long n = counts.getOrDefault(cause, 0L);
		return (n != 0) ? (double) n / Math.max(n, total) / cause.budget() : 0;
	}

}
