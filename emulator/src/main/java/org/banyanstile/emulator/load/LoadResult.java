package org.banyanstile.emulator.load;

import java.io.PrintStream;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

import org.HdrHistogram.Histogram;

/**
 * Counts and times of a run. Safe for use by several threads.
 *
 * @author banyanstile contributors
 */
public final class LoadResult {

	private static final long MAX_MICROS = TimeUnit.MINUTES.toMicros(2);

	private final Histogram firstToken = new Histogram(MAX_MICROS, 3);

	private final Histogram interToken = new Histogram(MAX_MICROS, 3);

	private final Map<String, Integer> refused = new TreeMap<>();

	private final Map<String, Integer> retried = new TreeMap<>();

	private final Map<String, Integer> wrong = new TreeMap<>();

	private int total;

	private int answered;

	synchronized void answered() {
		this.total++;
		this.answered++;
	}

	synchronized void refused(String type) {
		this.total++;
		this.refused.merge(type, 1, Integer::sum);
	}

	synchronized void wrong(String fault) {
		this.total++;
		this.wrong.merge(fault, 1, Integer::sum);
	}

	synchronized void retried(String type) {
		this.retried.merge(type, 1, Integer::sum);
	}

	synchronized void firstToken(long nanos) {
		this.firstToken.recordValue(Math.min(TimeUnit.NANOSECONDS.toMicros(nanos), MAX_MICROS));
	}

	synchronized void interToken(long nanos) {
		this.interToken.recordValue(Math.min(TimeUnit.NANOSECONDS.toMicros(nanos), MAX_MICROS));
	}

	/**
	 * Returns the number of requests that have ended.
	 * @return the number
	 */
	public synchronized int total() {
		return this.total;
	}

	/**
	 * Returns the number of requests with a complete and correct response.
	 * @return the number
	 */
	public synchronized int answeredCount() {
		return this.answered;
	}

	/**
	 * Returns the number of requests with a wrong response.
	 * @return the number
	 */
	public synchronized int wrongCount() {
		return this.wrong.values().stream().mapToInt(Integer::intValue).sum();
	}

	/**
	 * Returns the refused requests by type.
	 * @return numbers by type
	 */
	public synchronized Map<String, Integer> refusals() {
		return Map.copyOf(this.refused);
	}

	/**
	 * Returns the attempts that were followed by another one, by type.
	 * @return numbers by type
	 */
	public synchronized Map<String, Integer> retries() {
		return Map.copyOf(this.retried);
	}

	/**
	 * Prints the summary.
	 * @param out where to print
	 */
	public synchronized void print(PrintStream out) {
		out.println("answered " + this.answered + " of " + this.total);
		out.println("refused  " + this.refused);
		out.println("wrong    " + this.wrong);
		out.println("retried  " + this.retried);
		out.println("first token ms  " + percentiles(this.firstToken));
		out.println("inter-token ms  " + percentiles(this.interToken));
	}

	private static String percentiles(Histogram histogram) {
		return String.format(Locale.ROOT, "p50 %.1f  p95 %.1f  p99 %.1f  n %d",
				histogram.getValueAtPercentile(50) / 1000.0, histogram.getValueAtPercentile(95) / 1000.0,
				histogram.getValueAtPercentile(99) / 1000.0, histogram.getTotalCount());
	}

}
