package org.banyanstile.core.canary;

import java.util.List;
import java.util.stream.IntStream;

/**
 * Histogram of times in classes that grow by half an octave, so that histograms of
 * several VMs can be added.
 *
 * @param counts number of times in each class
 * @author banyanstile contributors
 */
public record TimeCounts(List<Integer> counts) {

	/**
	 * A histogram without times.
	 */
	public static final TimeCounts NONE = new TimeCounts(List.of());

	private static final int CLASSES_PER_DOUBLING = 2;

	private static final int MAX_CLASS = 40;

	static int timeClass(long millis) {
		double doublings = Math.log(Math.max(1, millis)) / Math.log(2);
		return (int) Math.min(MAX_CLASS, Math.round(CLASSES_PER_DOUBLING * doublings));
	}

	private int at(int index) {
		return (index < this.counts.size()) ? this.counts.get(index) : 0;
	}

	/**
	 * Returns this histogram with one more time.
	 * @param millis the time in milliseconds
	 * @return the histogram
	 */
	public TimeCounts with(long millis) {
		int added = timeClass(millis);
		int size = Math.max(added + 1, this.counts.size());
		return new TimeCounts(IntStream.range(0, size).mapToObj((i) -> at(i) + ((i == added) ? 1 : 0)).toList());
	}

	/**
	 * Returns the sum of two histograms.
	 * @param other the other one
	 * @return the sum
	 */
	public TimeCounts plus(TimeCounts other) {
		int size = Math.max(this.counts.size(), other.counts.size());
		return new TimeCounts(IntStream.range(0, size).mapToObj((i) -> at(i) + other.at(i)).toList());
	}

	int total() {
		return this.counts.stream().mapToInt(Integer::intValue).sum();
	}

	/**
	 * Returns a time that a share of the times does not exceed.
	 * @param share the share
	 * @return the time in milliseconds, 0 without times
	 */
	public long quantileMillis(double share) {
		double remaining = share * total();
		for (int i = 0; i < this.counts.size(); i++) {
			remaining -= this.counts.get(i);
			if (remaining <= 0 && total() > 0) {
				return Math.round(Math.pow(2, (double) i / CLASSES_PER_DOUBLING));
			}
		}
		return 0;
	}

	int above(long millis) {
		int limit = timeClass(millis);
		return IntStream.range(Math.min(limit + 1, this.counts.size()), this.counts.size()).map(this::at).sum();
	}

}
