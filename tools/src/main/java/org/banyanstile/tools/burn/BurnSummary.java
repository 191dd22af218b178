package org.banyanstile.tools.burn;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.banyanstile.config.api.BurnBucket;
import org.banyanstile.config.api.BurnReport;
import org.banyanstile.config.api.BurnSeries;
import org.banyanstile.config.api.BurnWindow;

/**
 * Counts of several VMs added up, by window, dimension and name.
 *
 * @author banyanstile contributors
 */
public final class BurnSummary {

	private final List<String> vms;

	private final long atMillis;

	private final List<BurnLine> lines;

	private BurnSummary(List<String> vms, long atMillis, List<BurnLine> lines) {
		this.vms = vms;
		this.atMillis = atMillis;
		this.lines = lines;
	}

	/**
	 * Adds up the reports of several VMs. A VM that is reported twice counts once.
	 * @param reports the reports
	 * @return the sum
	 */
	public static BurnSummary of(List<BurnReport> reports) {
		Map<String, BurnReport> byVm = new LinkedHashMap<>();
		reports.forEach((report) -> byVm.put(report.vm(), report));
		long at = byVm.values().stream().mapToLong(BurnReport::atMillis).max().orElse(0);
		List<BurnLine> lines = new ArrayList<>();
		for (BurnWindow window : BurnWindow.values()) {
			for (BurnDimension dimension : BurnDimension.values()) {
				lines.addAll(lines(byVm.values(), window, dimension, at));
			}
		}
		return new BurnSummary(List.copyOf(byVm.keySet()), at, List.copyOf(lines));
	}

	private static List<BurnLine> lines(Iterable<BurnReport> reports, BurnWindow window, BurnDimension dimension,
			long at) {
		Map<String, TreeMap<Long, BurnBucket>> groups = new TreeMap<>();
		for (BurnReport report : reports) {
			for (BurnSeries series : report.series()) {
				if (series.window() == window) {
					add(groups.computeIfAbsent(dimension.nameOf(series), (name) -> new TreeMap<>()), series, at);
				}
			}
		}
		return groups.entrySet()
			.stream()
			.map((group) -> BurnLine.of(window, dimension, group.getKey(), List.copyOf(group.getValue().values())))
			.sorted(Comparator.comparingDouble(BurnLine::burnRate).reversed().thenComparing(BurnLine::name))
			.toList();
	}

	private static void add(Map<Long, BurnBucket> sum, BurnSeries series, long at) {
		for (BurnBucket bucket : series.buckets()) {
			if (bucket.startMillis() + series.window().bucketMillis() > at - series.window().millis()) {
				sum.merge(bucket.startMillis(), bucket, BurnBucket::plus);
			}
		}
	}

	/**
	 * Returns the VMs whose counts are included.
	 * @return their names
	 */
	public List<String> vms() {
		return this.vms;
	}

	/**
	 * Returns the Unix time of the latest report.
	 * @return the time in milliseconds
	 */
	public long atMillis() {
		return this.atMillis;
	}

	/**
	 * Returns all groups, within a window and dimension the highest burn rate first.
	 * @return the groups
	 */
	public List<BurnLine> lines() {
		return this.lines;
	}

	List<BurnLine> lines(BurnWindow window, BurnDimension dimension) {
		return this.lines.stream().filter((line) -> line.window() == window && line.dimension() == dimension).toList();
	}

}
