package org.banyanstile.tools.burn;

import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.annotation.JsonInclude;
import org.banyanstile.config.api.BurnBucket;
import org.banyanstile.config.api.BurnCause;
import org.banyanstile.config.api.BurnWindow;
import org.jspecify.annotations.Nullable;

/**
 * Use of error budget in one group over one window. A burn rate of 1 uses the budget up
 * exactly.
 *
 * @param window the window
 * @param dimension by what the counts are grouped
 * @param name name of the group
 * @param requests requests that ended in the window
 * @param causes how many of them used up error budget, by cause
 * @param burnRate the highest burn rate of a cause
 * @param worst the cause with that rate, {@code null} if none occurred
 * @param buckets the counts over time
 * @author banyanstile contributors
 */
@JsonInclude(JsonInclude.Include.NON_NULL)
public record BurnLine(BurnWindow window, BurnDimension dimension, String name, long requests,
		Map<BurnCause, Long> causes, double burnRate, @Nullable BurnCause worst, List<BurnBucket> buckets) {

	static BurnLine of(BurnWindow window, BurnDimension dimension, String name, List<BurnBucket> buckets) {
		BurnBucket total = buckets.stream().reduce(new BurnBucket(0, 0, Map.of()), BurnBucket::plus);
		BurnCause worst = null;
		double rate = 0;
		for (BurnCause cause : BurnCause.values()) {
			if (rate(total, cause) > rate) {
				rate = rate(total, cause);
				worst = cause;
			}
		}
		return new BurnLine(window, dimension, name, total.requests(), total.causes(), rate, worst, buckets);
	}

	/**
	 * Returns the burn rate of a cause in one bucket.
	 * @param bucket the bucket
	 * @param cause the cause
	 * @return the rate, 0 without requests and causes
	 */
	static double rate(BurnBucket bucket, BurnCause cause) {
		long n = bucket.count(cause);
		return (n != 0) ? (double) n / Math.max(n, bucket.requests()) / cause.budget() : 0;
	}

}
