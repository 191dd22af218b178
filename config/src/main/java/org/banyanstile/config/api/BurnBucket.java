package org.banyanstile.config.api;

import java.util.EnumMap;
import java.util.Map;

/**
 * Counts of one bucket of a window.
 *
 * @param startMillis start of the bucket in Unix time, in milliseconds
 * @param requests requests that ended in it
 * @param causes how many of them used up error budget, by cause; absent means 0
 * @author banyanstile contributors
 */
public record BurnBucket(long startMillis, long requests, Map<BurnCause, Long> causes) {

	/**
	 * Copies the map.
	 * @param startMillis start of the bucket
	 * @param requests requests that ended in it
	 * @param causes how many of them used up error budget
	 */
	public BurnBucket {
		causes = Map.copyOf(causes);
	}

	/**
	 * Returns the count of a cause.
	 * @param cause the cause
	 * @return the count
	 */
	public long count(BurnCause cause) {
		return this.causes.getOrDefault(cause, 0L);
	}

	/**
	 * Adds the counts of another bucket.
	 * @param other the other bucket
	 * @return the sum, with the start of this bucket
	 */
	public BurnBucket plus(BurnBucket other) {
		Map<BurnCause, Long> sum = new EnumMap<>(BurnCause.class);
		sum.putAll(this.causes);
		other.causes.forEach((cause, n) -> sum.merge(cause, n, Long::sum));
		return new BurnBucket(this.startMillis, this.requests + other.requests, sum);
	}

}
