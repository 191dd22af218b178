package org.banyanstile.tools.burn;

import java.util.Locale;

import org.banyanstile.config.api.BurnBucket;
import org.banyanstile.config.api.BurnCause;

/**
 * Plot of the burn rate over one window as inline SVG: one bar per bucket, in which the
 * causes are stacked, and a line at burn rate 1.
 *
 * @author banyanstile contributors
 */
final class BurnPlot {

	private static final int WIDTH = 220;

	private static final int HEIGHT = 48;

	private BurnPlot() {
	}

	static String render(BurnLine line, long atMillis) {
		double top = Math.max(1.25, line.buckets().stream().mapToDouble(BurnPlot::total).max().orElse(0));
		StringBuilder svg = new StringBuilder(String.format(Locale.ROOT,
				"<svg viewBox=\"0 0 %d %d\" width=\"%d\" height=\"%d\" role=\"img\">"
						+ "<title>burn rate, highest bucket %.2f</title>",
				WIDTH, HEIGHT, WIDTH, HEIGHT, line.buckets().stream().mapToDouble(BurnPlot::total).max().orElse(0)));
		for (BurnBucket bucket : line.buckets()) {
			addBar(svg, line, bucket, atMillis, top);
		}
		double one = HEIGHT - HEIGHT / top;
		return svg
			.append(String.format(Locale.ROOT, "<line class=\"one\" x1=\"0\" x2=\"%d\" y1=\"%.1f\" y2=\"%.1f\"/></svg>",
					WIDTH, one, one))
			.toString();
	}

	private static void addBar(StringBuilder svg, BurnLine line, BurnBucket bucket, long atMillis, double top) {
		double scale = (double) WIDTH / line.window().millis();
		double width = Math.max(1, line.window().bucketMillis() * scale - 0.5);
		double x = (bucket.startMillis() - (atMillis - line.window().millis())) * scale;
		double y = HEIGHT;
		for (BurnCause cause : BurnCause.values()) {
			double height = BurnLine.rate(bucket, cause) / top * HEIGHT;
			if (height > 0) {
				y -= height;
				svg.append(String.format(Locale.ROOT,
						"<rect class=\"%s\" x=\"%.1f\" y=\"%.1f\" width=\"%.1f\" height=\"%.1f\"/>",
						BurnStyle.cssClass(cause), Math.max(0, x), y, width, height));
			}
		}
	}

	private static double total(BurnBucket bucket) {
		double sum = 0;
		for (BurnCause cause : BurnCause.values()) {
			sum += BurnLine.rate(bucket, cause);
		}
		return sum;
	}

}
