package org.banyanstile.tools.burn;

import java.util.List;
import java.util.Locale;

import org.banyanstile.config.api.BurnCause;
import org.banyanstile.config.api.BurnWindow;

/**
 * Text form of the report.
 *
 * @author banyanstile contributors
 */
public final class BurnTable {

	private static final int MAX_LINES = 20;

	private static final String FORMAT = "%-12s %-28s %10s %10s  %s%n";

	private BurnTable() {
	}

	/**
	 * Renders the groups with the highest burn rates.
	 * @param summary the counts
	 * @return the text
	 */
	public static String render(BurnSummary summary) {
		StringBuilder text = new StringBuilder(
				"counts of " + String.join(", ", summary.vms()) + System.lineSeparator());
		for (BurnWindow window : BurnWindow.values()) {
			text.append(String.format("%nlast %s%n", window.label()))
				.append(String.format(FORMAT, "BY", "NAME", "REQUESTS", "BURN RATE", "USED UP BY"));
			for (BurnDimension dimension : BurnDimension.values()) {
				List<BurnLine> lines = summary.lines(window, dimension);
				lines.stream().limit(MAX_LINES).forEach((line) -> text.append(row(line)));
				if (lines.size() > MAX_LINES) {
					text.append(String.format("%-12s (%d more)%n", dimension.label(), lines.size() - MAX_LINES));
				}
			}
		}
		return text.toString().stripTrailing();
	}

	private static String row(BurnLine line) {
		return String.format(Locale.ROOT, FORMAT, line.dimension().label(), line.name(), line.requests(),
				String.format(Locale.ROOT, "%.2f", line.burnRate()), causes(line));
	}

	static String causes(BurnLine line) {
		BurnCause worst = line.worst();
		if (worst == null) {
			return "nothing";
		}
		StringBuilder text = new StringBuilder(worst.label() + " (" + line.causes().get(worst) + ")");
		for (BurnCause cause : BurnCause.values()) {
			long n = line.causes().getOrDefault(cause, 0L);
			if (cause != worst && n > 0) {
				text.append(", ").append(cause.label()).append(" (").append(n).append(')');
			}
		}
		return text.toString();
	}

}
