package org.banyanstile.tools.burn;

import java.util.Locale;

import org.banyanstile.config.api.BurnCause;

/**
 * Plot of the burn rates of one group as inline SVG: one bar per window, in which the
 * causes are stacked, and a line at burn rate 1.
 *
 * @author banyanstile contributors
 */
final class BurnPlot {

	private static final int BAR_WIDTH = 40;

	private static final int GAP = 10;

	private static final int HEIGHT = 56;

	private static final int LABEL_HEIGHT = 14;

	/**
	 * Minimum burn rate at the top of the plot, so that small rates do not look high.
	 */
	private static final double MIN_TOP_RATE = 1.5;

	private BurnPlot() {
	}

	static String render(BurnGroup group) {
		double highest = group.lines().stream().mapToDouble(BurnPlot::total).max().orElse(0);
		double top = Math.max(MIN_TOP_RATE, highest);
		int width = group.lines().size() * (BAR_WIDTH + GAP) + GAP;
		StringBuilder svg = new StringBuilder(String.format(Locale.ROOT,
				"<svg viewBox=\"0 0 %d %d\" width=\"%d\" height=\"%d\" role=\"img\">"
						+ "<title>burn rates by window, highest %.2f</title>",
				width, HEIGHT + LABEL_HEIGHT, width, HEIGHT + LABEL_HEIGHT, highest));
		int x = GAP;
		for (BurnLine line : group.lines()) {
			addBar(svg, line, x, top);
			x += BAR_WIDTH + GAP;
		}
		double one = HEIGHT - HEIGHT / top;
		return svg
			.append(String.format(Locale.ROOT, "<line class=\"one\" x1=\"0\" x2=\"%d\" y1=\"%.1f\" y2=\"%.1f\"/></svg>",
					width, one, one))
			.toString();
	}

	private static void addBar(StringBuilder svg, BurnLine line, int x, double top) {
		double y = HEIGHT;
		for (BurnCause cause : BurnCause.values()) {
			double height = line.rate(cause) / top * HEIGHT;
			if (height > 0) {
				y -= height;
				svg.append(String.format(Locale.ROOT,
						"<rect class=\"%s\" x=\"%d\" y=\"%.1f\" width=\"%d\" height=\"%.1f\"/>",
						BurnStyle.cssClass(cause), x, y, BAR_WIDTH, height));
			}
		}
		svg.append(String.format(Locale.ROOT, "<text x=\"%d\" y=\"%d\">%s</text>", x, HEIGHT + LABEL_HEIGHT - 3,
				line.window().label()));
	}

	private static double total(BurnLine line) {
		double sum = 0;
		for (BurnCause cause : BurnCause.values()) {
			sum += line.rate(cause);
		}
		return sum;
	}

}
