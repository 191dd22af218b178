package org.banyanstile.tools.burn;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.banyanstile.config.api.BurnReport;
import org.banyanstile.config.api.BurnSeries;
import org.banyanstile.config.api.BurnWindow;

/**
 * Sums of the counts of several VMs, by window, dimension and name.
 *
 * @author banyanstile contributors
 */
public final class BurnSummary {

	private final List<String> vms;

	private final long atMillis;

	private final List<BurnGroup> groups;

	private BurnSummary(List<String> vms, long atMillis, List<BurnGroup> groups) {
		this.vms = vms;
		this.atMillis = atMillis;
		this.groups = groups;
	}

	/**
	 * Adds up the reports of several VMs. If a VM is reported twice, only its last report
	 * counts.
	 * @param reports the reports
	 * @return the sum
	 */
	public static BurnSummary of(List<BurnReport> reports) {
		Map<String, BurnReport> byVm = new LinkedHashMap<>();
		reports.forEach((report) -> byVm.put(report.vm(), report));
		List<BurnSeries> series = byVm.values().stream().flatMap((report) -> report.series().stream()).toList();
		List<BurnGroup> groups = new ArrayList<>();
		for (BurnDimension dimension : BurnDimension.values()) {
			groups.addAll(groups(dimension, series));
		}
		long at = byVm.values().stream().mapToLong(BurnReport::atMillis).max().orElse(0);
		return new BurnSummary(List.copyOf(byVm.keySet()), at, List.copyOf(groups));
	}

	private static List<BurnGroup> groups(BurnDimension dimension, List<BurnSeries> series) {
		Map<String, Map<BurnWindow, List<BurnSeries>>> byName = new TreeMap<>();
		for (BurnSeries each : series) {
			byName.computeIfAbsent(dimension.nameOf(each), (name) -> new EnumMap<>(BurnWindow.class))
				.computeIfAbsent(each.window(), (window) -> new ArrayList<>())
				.add(each);
		}
		List<BurnGroup> groups = new ArrayList<>();
		byName.forEach((name,
				windows) -> groups.add(new BurnGroup(dimension, name,
						windows.entrySet()
							.stream()
							.map((entry) -> BurnLine.of(entry.getKey(), dimension, name, entry.getValue()))
							.toList())));
		groups.sort(Comparator.comparingDouble((BurnGroup group) -> group.worst().burnRate()).reversed());
		return groups;
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
	 * Returns all groups in all windows. Within a dimension, the group with the highest
	 * burn rate comes first.
	 * @return the groups
	 */
	public List<BurnLine> lines() {
		return this.groups.stream().flatMap((group) -> group.lines().stream()).toList();
	}

	List<BurnGroup> groups(BurnDimension dimension) {
		return this.groups.stream().filter((group) -> group.dimension() == dimension).toList();
	}

}
