package org.banyanstile.tools.burn;

import java.util.List;
import java.util.Locale;

import org.banyanstile.config.api.BurnCause;
import org.banyanstile.config.api.BurnWindow;

/**
 * Report as a text table.
 *
 * @author banyanstile contributors
 */
public final class BurnTable {

	private static final int MAX_GROUPS = 20;

	private static final String FORMAT = "%-12s %-28s %8s %8s %8s %8s  %s%n";

	private BurnTable() {
	}

	/**
	 * Renders the groups with the highest burn rates: the rate in each window, and the
	 * causes in the window with the highest one.
	 * @param summary the counts
	 * @return the text
	 */
	public static String render(BurnSummary summary) {
		StringBuilder text = new StringBuilder(
				"burn rates from the counts of " + String.join(", ", summary.vms()) + System.lineSeparator());
		text.append(String.format(FORMAT, "BY", "NAME", "5 MIN", "1 H", "6 H", "3 DAYS", "USED UP BY"));
		for (BurnDimension dimension : BurnDimension.values()) {
			List<BurnGroup> groups = summary.groups(dimension);
			groups.stream().limit(MAX_GROUPS).forEach((group) -> text.append(row(group)));
			if (groups.size() > MAX_GROUPS) {
				text.append(String.format("%-12s (%d more)%n", dimension.label(), groups.size() - MAX_GROUPS));
			}
		}
		return text.toString().stripTrailing();
	}

	private static String row(BurnGroup group) {
		return String.format(Locale.ROOT, FORMAT, group.dimension().label(), group.name(),
				rate(group, BurnWindow.FIVE_MINUTES), rate(group, BurnWindow.ONE_HOUR),
				rate(group, BurnWindow.SIX_HOURS), rate(group, BurnWindow.THREE_DAYS), causes(group.worst()));
	}

	static String rate(BurnGroup group, BurnWindow window) {
		return group.lines()
			.stream()
			.filter((line) -> line.window() == window)
			.map((line) -> String.format(Locale.ROOT, "%.2f", line.burnRate()))
			.findFirst()
			.orElse("-");
	}

	static String causes(BurnLine line) {
		BurnCause worst = line.worst();
		if (worst == null) {
			return "nothing, " + line.requests() + " requests in " + line.window().label();
		}
		StringBuilder text = new StringBuilder(worst.label() + " (" + line.causes().get(worst) + ")");
		for (BurnCause cause : BurnCause.values()) {
			long n = line.causes().getOrDefault(cause, 0L);
			if (cause != worst && n > 0) {
				text.append(", ").append(cause.label()).append(" (").append(n).append(')');
			}
		}
		return text + " of " + line.requests() + " requests in " + line.window().label();
	}

}
